#include <pollenstream/sessions/answer_assembly.hpp>

#include <utility>

namespace pollenstream::sessions
{

answer_assembly::answer_assembly( core::request_id request )
    : request_( std::move( request ) )
{
}

auto answer_assembly::accept( ports::engine_event const& event,
                              core::attempt_number attempt ) -> bool
{
    auto const is_next = event.request == request_ &&
                         event.attempt == attempt &&
                         event.position == position_ && !ended_;
    if ( !is_next )
        return false;
    if ( event.last )
    {
        ended_ = true;
        return true;
    }
    ++position_;
    ++ready_.tokens;
    ready_.text += event.text;
    text_ += event.text;
    return true;
}

auto answer_assembly::take_ready() -> ready_text
{
    return std::exchange( ready_, {} );
}

}
