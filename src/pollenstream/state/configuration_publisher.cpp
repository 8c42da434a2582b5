#include <pollenstream/core/hash.hpp>
#include <pollenstream/state/configuration_publisher.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::state
{

namespace
{

/// Attempts to read the head back after the response to a write was lost;
/// after that the outcome is reported as unknown.
constexpr auto max_read_back_attempts = 3;
/// Attempts to apply a change without a base revision while others change the
/// head concurrently.
constexpr auto max_rebase_attempts = 5;

auto make_report( change_outcome outcome, std::string detail ) -> change_report
{
    auto report = change_report{};
    report.outcome = outcome;
    report.detail = std::move( detail );
    return report;
}

auto accepted_report( core::revision revision ) -> change_report
{
    auto report = change_report{};
    report.outcome = change_outcome::accepted;
    report.revision = revision;
    return report;
}

auto conflict_report( configuration_head const& head, core::revision base )
    -> change_report
{
    auto report = make_report( change_outcome::conflict,
                               "the configuration was changed meanwhile" );
    report.revision = head.revision;
    for ( auto const& each : head.changes )
    {
        if ( each.revision > base )
            report.since.push_back( each );
    }
    return report;
}

/// Returns the texts of all documents that `head` lists; reads only those from
/// the store that `known` does not hold.
auto load_documents( ports::key_value_store& store,
                     configuration_head const& head,
                     configuration_bundle const& known )
    -> core::result<document_texts>
{
    auto texts = document_texts{};
    for ( auto const& [name, hash] : head.documents )
    {
        auto const known_hash = known.head.documents.find( name );
        if ( known_hash != known.head.documents.end() &&
             known_hash->second == hash )
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

/// Returns `base` with the requested change applied, as the next revision.
auto apply_change( configuration_bundle const& base,
                   requested_change const& requested ) -> configuration_bundle
{
    auto next = base;
    auto change = accepted_change{
        requested.id, {}, requested.author, requested.unix_seconds, {} };
    for ( auto const& [name, text] : requested.put )
    {
        next.texts[name] = text;
        next.head.documents[name] = core::content_hash( text );
        change.documents.push_back( name );
    }
    for ( auto const& name : requested.remove )
    {
        next.texts.erase( name );
        next.head.documents.erase( name );
        change.documents.push_back( name );
    }
    next.head.revision = base.head.revision + core::revision( 1 );
    change.revision = next.head.revision;
    auto& changes = next.head.changes;
    changes.insert( changes.begin(), std::move( change ) );
    changes.resize( std::min( changes.size(), max_remembered_changes ) );
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

auto configuration_publisher::apply( requested_change const& requested )
    -> change_report
{
    for ( auto attempt = 0; attempt < max_rebase_attempts; ++attempt )
    {
        auto const stored = read_head();
        if ( !stored )
            return make_report( change_outcome::refused,
                                stored.error().detail );
        auto const& head = stored.value().head;
        if ( auto const* const known = head.find_change( requested.id ) )
            return accepted_report( known->revision );
        auto const base = load_base( stored.value() );
        if ( !base )
            return make_report( change_outcome::refused, base.error().detail );
        auto const& base_bundle = base.value();
        if ( requested.based_on &&
             *requested.based_on != base_bundle.head.revision )
            return conflict_report( base_bundle.head, *requested.based_on );
        auto const next = apply_change( base_bundle, requested );
        auto report = change_report{};
        check_documents( next.texts, codec_, report.findings );
        report.outcome = change_outcome::faulty;
        report.revision = base_bundle.head.revision;
        if ( !report.findings.empty() )
            return report;
        auto const written = write_documents( head, next );
        if ( !written )
            return make_report( change_outcome::refused,
                                written.error().detail );
        report = swap_head( stored.value(), next, requested );
        auto const may_rebase =
            report.outcome == change_outcome::conflict && !requested.based_on;
        if ( !may_rebase )
            return report;
    }
    return make_report( change_outcome::conflict,
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

auto configuration_publisher::load_base( stored_head const& stored )
    -> core::result<configuration_bundle>
{
    // After an outage the store may hold an older revision. Revisions must
    // not decrease, so build on the newer one in force on this instance.
    if ( holder_.revision() > stored.head.revision )
        return holder_.bundle();
    auto texts = load_documents( store_, stored.head, holder_.bundle() );
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
        // The key is the content hash, so an existing value is identical.
        if ( written || written.error().code == core::error_code::conflict )
            continue;
        auto const existing = store_.get( key );
        if ( !existing || existing.value().version == absent )
            return written.error();
    }
    return core::success();
}

auto configuration_publisher::swap_head( stored_head const& stored,
                                         configuration_bundle const& next,
                                         requested_change const& requested )
    -> change_report
{
    auto const swapped = store_.compare_and_swap(
        head_key, stored.version, codec_.write_head( next.head ) );
    if ( swapped )
        return accepted_report( next.head.revision );
    auto const code = swapped.error().code;
    if ( core::proves_not_run( code ) || code == core::error_code::too_large )
        return make_report( change_outcome::refused, swapped.error().detail );
    return resolve_unknown_outcome( stored, requested );
}

auto configuration_publisher::resolve_unknown_outcome(
    stored_head const& stored, requested_change const& requested )
    -> change_report
{
    for ( auto attempt = 0; attempt < max_read_back_attempts; ++attempt )
    {
        auto const current = read_head();
        if ( !current )
            continue;
        auto const& head = current.value().head;
        if ( auto const* const known = head.find_change( requested.id ) )
            return accepted_report( known->revision );
        // The head has another version, so the swap can no longer succeed.
        if ( current.value().version != stored.version )
            return conflict_report( head, stored.head.revision );
    }
    return make_report( change_outcome::unknown,
                        "the store did not answer; ask again with change id " +
                            requested.id.str() );
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
    auto texts = load_documents( store, head.value(), known );
    if ( !texts )
        return texts.error();
    return configuration_bundle{ head.value(), std::move( texts.value() ) };
}

}
