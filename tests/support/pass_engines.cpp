#include "support/pass_engines.hpp"

#include <pollenstream/exchange/engine_model.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace tests
{

namespace
{

/// Length of every answer in tokens, as in `simulated_load`.
constexpr auto answer_tokens = std::int64_t{ 800 };

}

/// One answer in progress, which events are sent to at the ends of passes.
class pass_engines::answer : public exchange::open_attempt
{
public:
    answer( std::shared_ptr<exchange::attempt_listener> listener,
            std::int64_t prompt_tokens,
            std::size_t parts,
            engine_state& home )
        : context_tokens( prompt_tokens ), parts_left( parts ), at( home ),
          listener_( std::move( listener ) )
    {
    }
    auto cancel() -> void override
    {
        listener_.reset();
    }
    [[nodiscard]] auto sent() const -> bool override
    {
        return true;
    }
    [[nodiscard]] auto is_over() const -> bool
    {
        return listener_ == nullptr;
    }
    auto send_event( std::int64_t tokens ) -> void
    {
        auto const listener = listener_;
        if ( !listener )
            return;
        if ( events_ == 0 )
        {
            auto head = exchange::answer_head{};
            head.status = 200;
            head.has_seal = true;
            listener->on_head( std::move( head ) );
        }
        listener->on_body( "id: " + std::to_string( ++events_ ) +
                           "\ndata: x\n\n" );
        if ( events_ * tokens < answer_tokens )
            return;
        listener_.reset();
        auto end = exchange::attempt_end{};
        end.complete = true;
        end.sent = true;
        listener->on_end( end );
    }

    std::int64_t const context_tokens;
    std::size_t parts_left;
    engine_state& at; ///< the engine that decodes it

private:
    std::shared_ptr<exchange::attempt_listener> listener_;
    std::int64_t events_{ 0 };
};

auto pass_engines::send( exchange::outgoing_request request,
                         std::shared_ptr<exchange::attempt_listener> listener )
    -> std::shared_ptr<exchange::open_attempt>
{
    auto text = std::istringstream( *request.text );
    auto tokens = std::int64_t{ 0 };
    text >> tokens;
    auto addresses =
        std::vector<std::string>{ core::to_string( request.address ) };
    for ( auto helper = std::string{}; text >> helper; )
        if ( helper != addresses.front() )
            addresses.push_back( helper );
    auto const part_ms = exchange::prefill_ms( speed_, tokens ) /
                         static_cast<double>( addresses.size() );
    auto const started = std::make_shared<answer>(
        std::move( listener ), tokens, addresses.size(),
        engines_[addresses.front()] );
    for ( auto const& address : addresses )
    {
        auto& engine = engines_[address];
        engine.parts.push_back(
            { started, part_ms, address == addresses.front() } );
        if ( !engine.pass_end )
            start_pass( engine );
    }
    return started;
}

auto pass_engines::prefill( engine_state& engine ) const -> double
{
    auto const max_ms =
        static_cast<double>( speed_.prefill_chunk * speed_.steps_per_pass ) /
        speed_.prefill_tokens_per_ms;
    auto left = max_ms;
    auto const work_on = [&left]( part& p )
    {
        auto const done = std::min( left, p.ms_left );
        p.ms_left -= done;
        left -= done;
    };
    for ( auto p = engine.parts.rbegin(); p != engine.parts.rend(); ++p )
        if ( !p->is_own )
            work_on( *p );
    for ( auto& p : engine.parts )
        if ( p.is_own )
            work_on( p );
    return max_ms - left;
}

auto pass_engines::start_pass( engine_state& engine ) -> void
{
    auto const is_over = []( auto const& a )
    {
        return a->is_over();
    };
    std::erase_if( engine.decoding, is_over );
    std::erase_if( engine.parts,
                   [&]( auto const& p )
                   {
                       return is_over( p.pending_answer );
                   } );
    if ( engine.parts.empty() && engine.decoding.empty() )
        return;
    auto context = std::int64_t{ 0 };
    for ( auto const& a : engine.decoding )
        context += a->context_tokens;
    auto time = prefill( engine );
    if ( !engine.decoding.empty() )
        time += exchange::decode_pass_ms(
            speed_, static_cast<std::int64_t>( engine.decoding.size() ),
            context );
    engine.pass_end =
        scheduler_.call_after( core::duration_of( time / 1'000 ),
                               [this, &engine, decoded = engine.decoding]
                               {
                                   end_pass( engine, decoded );
                               } );
}

auto pass_engines::end_pass(
    engine_state& engine, std::vector<std::shared_ptr<answer>> const& decoded )
    -> void
{
    // The callback that runs now belongs to `pass_end`.
    auto const ended = std::exchange( engine.pass_end, nullptr );
    auto events = decoded;
    auto parts = std::exchange( engine.parts, {} );
    for ( auto& p : parts )
    {
        if ( p.ms_left > 0 )
            engine.parts.push_back( p );
        else if ( --p.pending_answer->parts_left == 0 )
        {
            events.push_back( p.pending_answer );
            p.pending_answer->at.decoding.push_back( p.pending_answer );
            if ( &p.pending_answer->at != &engine &&
                 !p.pending_answer->at.pass_end )
                start_pass( p.pending_answer->at );
        }
    }
    start_pass( engine );
    for ( auto const& a : events )
        a->send_event( speed_.steps_per_pass );
}

}
