#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <utility>

namespace pollenstream::state
{

namespace
{

auto check_complete( configuration_bundle const& bundle ) -> core::result<void>
{
    for ( auto const& [name, hash] : bundle.head.documents )
    {
        auto const text = bundle.texts.find( name );
        if ( text == bundle.texts.end() )
            return core::error{ core::error_code::not_found,
                                "document '" + name + "' is missing" };
        if ( core::content_hash( text->second ) != hash )
            return core::error{ core::error_code::malformed,
                                "document '" + name + "' has another hash" };
    }
    return core::success();
}

}

auto check_documents( document_texts const& texts,
                      ports::configuration_codec const& codec,
                      core::findings& findings ) -> profiles::configuration
{
    auto combined = profiles::configuration{};
    for ( auto const& [name, text] : texts )
    {
        auto const document = codec.read_document( name, text, findings );
        profiles::read_configuration( document, combined, findings );
    }
    profiles::check_references( combined, "configuration", findings );
    return combined;
}

configuration_holder::configuration_holder(
    ports::configuration_codec const& codec )
    : codec_( codec ),
      in_force_( std::make_unique<profiles::configuration const>() )
{
}

auto configuration_holder::adopt( configuration_bundle bundle )
    -> core::result<bool>
{
    auto const lock = std::scoped_lock( mutex_ );
    if ( bundle.head.revision <= bundle_.head.revision )
        return false;
    auto const complete = check_complete( bundle );
    if ( !complete )
        return complete.error();
    auto findings = core::findings{};
    auto next = std::make_unique<profiles::configuration>(
        check_documents( bundle.texts, codec_, findings ) );
    if ( !findings.empty() )
        return core::error{ core::error_code::malformed, findings.report() };
    next->revision = bundle.head.revision;
    core::check_invariant( core::invariant::revision_only_rises,
                           next->revision > bundle_.head.revision,
                           std::to_string( next->revision.count() ) );
    in_force_.publish( std::move( next ) );
    bundle_ = std::move( bundle );
    return true;
}

auto configuration_holder::revision() const -> core::revision
{
    return in_force_.read(
        []( profiles::configuration const& c )
        {
            return c.revision;
        } );
}

auto configuration_holder::bundle() const -> configuration_bundle
{
    auto const lock = std::scoped_lock( mutex_ );
    return bundle_;
}

auto configuration_holder::fingerprint() const -> std::string
{
    auto const lock = std::scoped_lock( mutex_ );
    auto listing = std::string{};
    for ( auto const& [name, hash] : bundle_.head.documents )
        listing.append( name ).append( "=" ).append( hash ).append( "\n" );
    return core::content_hash( listing );
}

}
