#include <pollenstream/membership/heartbeater.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace pollenstream::membership
{

namespace
{

/// Peers per round. With two, an update reaches all of 410 instances within
/// ten rounds; see docs/MEMBERSHIP.md.
constexpr auto peers_per_round = std::size_t{ 2 };
/// Peers are drawn at random, so an update can miss an instance. A periodic
/// exchange of the full table repairs that.
constexpr auto rounds_between_full_exchanges = 60;
/// Interval at which an instance considered gone is contacted.
constexpr auto rounds_between_gone_probes = 5;
/// Updates in one heartbeat, which bounds its size; a full exchange has more.
constexpr auto max_changes = std::size_t{ 12 };

}

heartbeater::heartbeater( member_table& members,
                          state::configuration_holder& holder,
                          ports::configuration_codec const& codec,
                          ports::peer_client& peers,
                          ports::clock const& clock )
    : members_( members ), holder_( holder ), codec_( codec ), peers_( peers ),
      clock_( clock )
{
}

auto heartbeater::run_round() -> void
{
    ++rounds_;
    auto const is_full_round = needs_full_exchange_.load() ||
                               rounds_ % rounds_between_full_exchanges == 0;
    auto wants_all = is_full_round;
    for ( auto const& peer : members_.pick_peers( peers_per_round ) )
    {
        exchange_with( peer, wants_all );
        // One full table per round is enough; a new instance requests it until
        // an exchange succeeds.
        wants_all = needs_full_exchange_.load();
    }
    // Two instances that consider each other gone would never exchange
    // heartbeats again without these probes.
    auto const gone = rounds_ % rounds_between_gone_probes == 0
                          ? members_.pick_gone()
                          : std::nullopt;
    if ( gone )
        exchange_with( *gone, false );
    members_.expire( clock_.now() );
}

auto heartbeater::exchange_with( member const& peer, bool wants_all ) -> void
{
    auto request = compose( false );
    request.wants_all = wants_all;
    auto reply = peers_.exchange( peer.peers, request );
    // A single lost connection does not mean that the peer is down: retry once.
    if ( !reply )
        reply = peers_.exchange( peer.peers, request );
    if ( !reply )
    {
        silences.add();
        members_.note_unreachable( peer.id, clock_.now() );
        return;
    }
    exchanges.add();
    needs_full_exchange_.store( false );
    merge_heartbeat( reply.value() );
    if ( reply.value().revision > holder_.revision() )
        fetch_newer_configuration( peer );
}

auto heartbeater::announce() -> void
{
    for ( auto const& peer : members_.alive() )
    {
        auto const reply = peers_.exchange( peer.peers, compose( false ) );
        if ( reply )
            merge_heartbeat( reply.value() );
    }
}

auto heartbeater::compose( bool include_all ) -> ports::heartbeat
{
    auto composed = ports::heartbeat{};
    composed.sender = members_.self();
    composed.changes =
        include_all ? members_.all() : members_.take_changes( max_changes );
    composed.revision = holder_.revision();
    composed.fingerprint = holder_.fingerprint();
    return composed;
}

auto heartbeater::merge_heartbeat( ports::heartbeat const& received ) -> void
{
    auto const now = clock_.now();
    members_.merge( received.sender, now );
    for ( auto const& each : received.changes )
        members_.merge( each, now );
}

auto heartbeater::fetch_newer_configuration( member const& peer ) -> void
{
    auto const own = holder_.bundle();
    auto texts_by_hash = state::document_texts{};
    auto hashes = std::vector<std::string>{};
    for ( auto const& [name, hash] : own.head.documents )
    {
        texts_by_hash[hash] = own.texts.at( name );
        hashes.push_back( hash );
    }
    auto const fetched =
        peers_.fetch_configuration( peer.peers, own.head.revision, hashes );
    if ( !fetched || fetched.value().revision <= own.head.revision )
        return;
    auto head = codec_.read_head( fetched.value().head );
    if ( !head )
        return;
    auto bundle = state::configuration_bundle{ std::move( head.value() ), {} };
    for ( auto const& [name, hash] : bundle.head.documents )
    {
        auto const known = texts_by_hash.find( hash );
        if ( known != texts_by_hash.end() )
            bundle.texts[name] = known->second;
    }
    for ( auto const& each : fetched.value().documents )
        bundle.texts[each.name] = each.text;
    auto const adopted = holder_.adopt( std::move( bundle ) );
    if ( adopted && adopted.value() )
        configurations_from_peers.add();
}

auto heartbeater::answer( ports::heartbeat const& received ) -> ports::heartbeat
{
    merge_heartbeat( received );
    auto reply = compose( received.wants_all );
    // A sender that is considered suspect or gone here must learn of it from
    // this reply: it can only refute a claim that it has seen, and updates are
    // gossiped a limited number of times.
    auto const sender = members_.find( received.sender.id );
    if ( sender && sender->phase != received.sender.phase )
        reply.changes.push_back( *sender );
    return reply;
}

auto heartbeater::answer_fetch( core::revision newer_than,
                                std::vector<std::string> const& known_hashes )
    -> ports::peer_configuration
{
    auto const bundle = holder_.bundle();
    auto reply = ports::peer_configuration{};
    if ( bundle.head.revision <= newer_than )
        return reply;
    reply.revision = bundle.head.revision;
    reply.head = codec_.write_head( bundle.head );
    for ( auto const& [name, hash] : bundle.head.documents )
    {
        auto const is_known =
            std::find( known_hashes.begin(), known_hashes.end(), hash ) !=
            known_hashes.end();
        if ( !is_known )
            reply.documents.push_back( { name, bundle.texts.at( name ) } );
    }
    return reply;
}

}
