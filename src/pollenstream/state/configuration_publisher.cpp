#include <pollenstream/core/hash.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::state
{

namespace
{

/// How often a lost answer is looked for before it is told as unknown.
constexpr auto read_back_tries = 3;
/// How often a change without a base is put on top of a newer head.
constexpr auto rebase_tries = 5;

auto outcome( change_outcome what, std::string detail ) -> change_report
{
    auto report = change_report{};
    report.outcome = what;
    report.detail = std::move( detail );
    return report;
}

auto accepted_at( core::revision revision ) -> change_report
{
    auto report = change_report{};
    report.outcome = change_outcome::accepted;
    report.revision = revision;
    return report;
}

auto conflict_with( configuration_head const& head, core::revision base )
    -> change_report
{
    auto report = outcome( change_outcome::conflict,
                           "the configuration was changed meanwhile" );
    report.revision = head.revision;
    for ( auto const& each : head.changes )
    {
        if ( each.revision > base )
            report.since.push_back( each );
    }
    return report;
}

/// The documents that `head` names: those that `known` has from there, others
/// from the store.
auto load_texts( ports::key_value_store& store,
                 configuration_head const& head,
                 configuration_bundle const& known )
    -> core::result<document_texts>
{
    auto texts = document_texts{};
    for ( auto const& [name, hash] : head.documents )
    {
        auto const held = known.head.documents.find( name );
        if ( held != known.head.documents.end() && held->second == hash )
        {
            texts[name] = known.texts.at( name );
            continue;
        }
        auto const text = store.get( document_key( hash ) );
        if ( !text )
            return text.error();
        texts[name] = text.value().value;
    }
    return texts;
}

/// The bundle that `wanted` makes of `base`.
auto apply_to( configuration_bundle const& base, wanted_change const& wanted )
    -> configuration_bundle
{
    auto next = base;
    auto change = accepted_change{
        wanted.id, {}, wanted.author, wanted.unix_seconds, {} };
    for ( auto const& [name, text] : wanted.put )
    {
        next.texts[name] = text;
        next.head.documents[name] = core::content_hash( text );
        change.documents.push_back( name );
    }
    for ( auto const& name : wanted.remove )
    {
        next.texts.erase( name );
        next.head.documents.erase( name );
        change.documents.push_back( name );
    }
    next.head.revision = base.head.revision + core::revision( 1 );
    change.revision = next.head.revision;
    auto& changes = next.head.changes;
    changes.insert( changes.begin(), std::move( change ) );
    changes.resize( std::min( changes.size(), remembered_changes ) );
    return next;
}

}

auto name_of( change_outcome outcome ) -> std::string_view
{
    switch ( outcome )
    {
    case change_outcome::accepted:
        return "accepted";
    case change_outcome::faulty:
        return "faulty";
    case change_outcome::conflict:
        return "conflict";
    case change_outcome::refused:
        return "refused";
    case change_outcome::unknown:
        return "unknown";
    }
    return "unnamed";
}

configuration_publisher::configuration_publisher(
    ports::key_value_store& store,
    ports::configuration_codec const& codec,
    configuration_holder& holder )
    : store_( store ), codec_( codec ), holder_( holder )
{
}

auto configuration_publisher::apply( wanted_change const& wanted )
    -> change_report
{
    for ( auto tries = 0; tries < rebase_tries; ++tries )
    {
        auto const stored = read_head();
        if ( !stored )
            return outcome( change_outcome::refused, stored.error().detail );
        auto const& head = stored.value().head;
        if ( auto const* const known = head.find_change( wanted.id ) )
            return accepted_at( known->revision );
        auto const base = base_of( stored.value() );
        if ( !base )
            return outcome( change_outcome::refused, base.error().detail );
        auto const& from = base.value();
        if ( wanted.based_on && *wanted.based_on != from.head.revision )
            return conflict_with( from.head, *wanted.based_on );
        auto const next = apply_to( from, wanted );
        auto report = change_report{};
        check_documents( next.texts, codec_, report.found );
        report.outcome = change_outcome::faulty;
        report.revision = from.head.revision;
        if ( !report.found.empty() )
            return report;
        auto const written = write_documents( head, next );
        if ( !written )
            return outcome( change_outcome::refused, written.error().detail );
        report = swap_head( stored.value(), next, wanted );
        auto const may_rebase =
            report.outcome == change_outcome::conflict && !wanted.based_on;
        if ( !may_rebase )
            return report;
    }
    return outcome( change_outcome::conflict,
                    "others changed the configuration again and again" );
}

auto configuration_publisher::read_head() -> core::result<stored_head>
{
    auto const stored = store_.get( head_key );
    if ( !stored )
        return stored.error();
    auto out = stored_head{ {}, stored.value().version };
    if ( stored.value().version == ports::key_version( 0 ) )
        return out;
    auto head = codec_.read_head( stored.value().value );
    if ( !head )
        return head.error();
    out.head = std::move( head.value() );
    return out;
}

auto configuration_publisher::base_of( stored_head const& stored )
    -> core::result<configuration_bundle>
{
    // A store that came back older must not take the fleet back: the newer
    // configuration in force here is the base then.
    if ( holder_.revision() > stored.head.revision )
        return holder_.bundle();
    auto texts = load_texts( store_, stored.head, holder_.bundle() );
    if ( !texts )
        return texts.error();
    return configuration_bundle{ stored.head, std::move( texts.value() ) };
}

auto configuration_publisher::write_documents(
    configuration_head const& stored, configuration_bundle const& next )
    -> core::result<void>
{
    for ( auto const& [name, hash] : next.head.documents )
    {
        auto const known = stored.documents.find( name );
        if ( known != stored.documents.end() && known->second == hash )
            continue;
        auto const key = document_key( hash );
        auto const absent = ports::key_version( 0 );
        auto const written =
            store_.compare_and_swap( key, absent, next.texts.at( name ) );
        // The key names its content: whoever wrote it wrote the same.
        if ( written || written.error().code == core::error_code::conflict )
            continue;
        auto const there = store_.get( key );
        if ( !there || there.value().version == absent )
            return written.error();
    }
    return core::success();
}

auto configuration_publisher::swap_head( stored_head const& stored,
                                         configuration_bundle const& next,
                                         wanted_change const& wanted )
    -> change_report
{
    auto const swapped = store_.compare_and_swap(
        head_key, stored.version, codec_.write_head( next.head ) );
    if ( swapped )
        return accepted_at( next.head.revision );
    auto const code = swapped.error().code;
    if ( core::proves_not_run( code ) || code == core::error_code::too_large )
        return outcome( change_outcome::refused, swapped.error().detail );
    return find_out( stored, wanted );
}

auto configuration_publisher::find_out( stored_head const& stored,
                                        wanted_change const& wanted )
    -> change_report
{
    for ( auto tries = 0; tries < read_back_tries; ++tries )
    {
        auto const now = read_head();
        if ( !now )
            continue;
        auto const& head = now.value().head;
        if ( auto const* const known = head.find_change( wanted.id ) )
            return accepted_at( known->revision );
        // Another version stands there, so the swap can no longer succeed.
        if ( now.value().version != stored.version )
            return conflict_with( head, stored.head.revision );
    }
    return outcome( change_outcome::unknown,
                    "the store did not answer; ask again with change id " +
                        wanted.id.str() );
}

auto load_bundle( ports::key_value_store& store,
                  ports::configuration_codec const& codec,
                  configuration_bundle const& known )
    -> core::result<configuration_bundle>
{
    auto const stored = store.get( head_key );
    if ( !stored )
        return stored.error();
    if ( stored.value().version == ports::key_version( 0 ) )
        return configuration_bundle{};
    auto const head = codec.read_head( stored.value().value );
    if ( !head )
        return head.error();
    auto texts = load_texts( store, head.value(), known );
    if ( !texts )
        return texts.error();
    return configuration_bundle{ head.value(), std::move( texts.value() ) };
}

}
