#include <pollenstream/membership/heartbeater.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace pollenstream::membership
{

namespace
{

/// Peers in one round. Two of them let news reach a fleet of 410 within ten
/// rounds; see docs/MEMBERSHIP.md.
constexpr auto peers_per_round = std::size_t{ 2 };
/// News can miss an instance by chance; a full table now and then repairs it.
constexpr auto rounds_between_full_exchanges = 60;
/// One that is held for gone is tried this often.
constexpr auto rounds_between_probes = 5;
/// Members in one heartbeat, which bounds its size.
constexpr auto most_changes = std::size_t{ 12 };

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
    auto const asks_all =
        is_new_.load() || rounds_ % rounds_between_full_exchanges == 0;
    auto asks_this_one = asks_all;
    for ( auto const& peer : members_.pick_peers( peers_per_round ) )
    {
        exchange_with( peer, asks_this_one );
        asks_this_one = is_new_.load();
    }
    // Two that hold each other for gone would never meet again.
    auto const gone = rounds_ % rounds_between_probes == 0
                          ? members_.pick_gone()
                          : std::nullopt;
    if ( gone )
        exchange_with( *gone, false );
    members_.expire( clock_.now() );
}

auto heartbeater::exchange_with( member const& peer, bool everything ) -> void
{
    auto mine = compose( false );
    mine.wants_all = everything;
    auto theirs = peers_.exchange( peer.peers, mine );
    // One lost connection is not a dead peer: a second one decides.
    if ( !theirs )
        theirs = peers_.exchange( peer.peers, mine );
    if ( !theirs )
    {
        silences.add();
        members_.note_silence( peer.id, clock_.now() );
        return;
    }
    exchanges.add();
    is_new_.store( false );
    take_in( theirs.value() );
    if ( theirs.value().revision > holder_.revision() )
        catch_up( peer );
}

auto heartbeater::announce() -> void
{
    for ( auto const& peer : members_.alive() )
    {
        auto const told = peers_.exchange( peer.peers, compose( false ) );
        if ( told )
            take_in( told.value() );
    }
}

auto heartbeater::compose( bool everything ) -> ports::heartbeat
{
    auto mine = ports::heartbeat{};
    mine.sender = members_.self();
    mine.changes =
        everything ? members_.all() : members_.take_changes( most_changes );
    mine.revision = holder_.revision();
    mine.fingerprint = holder_.fingerprint();
    return mine;
}

auto heartbeater::take_in( ports::heartbeat const& theirs ) -> void
{
    auto const now = clock_.now();
    members_.merge( theirs.sender, now );
    for ( auto const& each : theirs.changes )
        members_.merge( each, now );
}

auto heartbeater::catch_up( member const& peer ) -> void
{
    auto const mine = holder_.bundle();
    auto known = state::document_texts{}; // by hash
    auto hashes = std::vector<std::string>{};
    for ( auto const& [name, hash] : mine.head.documents )
    {
        known[hash] = mine.texts.at( name );
        hashes.push_back( hash );
    }
    auto const fetched =
        peers_.fetch_configuration( peer.peers, mine.head.revision, hashes );
    if ( !fetched || fetched.value().revision <= mine.head.revision )
        return;
    auto head = codec_.read_head( fetched.value().head );
    if ( !head )
        return;
    auto bundle = state::configuration_bundle{ std::move( head.value() ), {} };
    for ( auto const& [name, hash] : bundle.head.documents )
    {
        auto const at = known.find( hash );
        if ( at != known.end() )
            bundle.texts[name] = at->second;
    }
    for ( auto const& each : fetched.value().documents )
        bundle.texts[each.name] = each.text;
    auto const adopted = holder_.adopt( std::move( bundle ) );
    if ( adopted && adopted.value() )
        configurations_from_peers.add();
}

auto heartbeater::answer( ports::heartbeat const& theirs ) -> ports::heartbeat
{
    take_in( theirs );
    auto mine = compose( theirs.wants_all );
    // Who is held for suspect or gone here has to hear it, or it cannot refute
    // once the news of it is no longer passed on.
    auto const sender = members_.find( theirs.sender.id );
    if ( sender && sender->phase != theirs.sender.phase )
        mine.changes.push_back( *sender );
    return mine;
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
