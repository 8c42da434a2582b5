#include "store_model.hpp"

#include <utility>

namespace standins
{

namespace
{

constexpr auto largest_value = std::size_t{ 1024 } * 1024;

auto outage_error() -> core::error
{
    return { core::error_code::unreachable, "the store is down" };
}

}

auto store_model::value_of( std::string const& key ) const -> ports::key_value
{
    auto const at = content_.find( key );
    return at == content_.end() ? ports::key_value{} : at->second;
}

auto store_model::get( std::string const& key )
    -> core::result<ports::key_value>
{
    auto const lock = std::scoped_lock( mutex_ );
    ++reads_;
    if ( faults_.outage )
        return outage_error();
    return value_of( key );
}

auto store_model::compare_and_swap( std::string const& key,
                                    ports::key_version expected,
                                    std::string const& value )
    -> core::result<ports::key_version>
{
    auto const lock = std::scoped_lock( mutex_ );
    ++writes_;
    if ( faults_.outage )
        return outage_error();
    if ( value.size() > largest_value )
        return core::error{ core::error_code::too_large,
                            "a value holds a megabyte at most" };
    if ( value_of( key ).version != expected )
        return core::error{ core::error_code::conflict, "another version" };
    auto const version = ports::key_version( next_version_++ );
    content_[key] = { value, version };
    changed_.notify_all();
    if ( faults_.lose_answers )
        return core::error{ core::error_code::timed_out, "no answer" };
    return version;
}

auto store_model::watch( std::string const& key,
                         ports::key_version known,
                         core::duration limit )
    -> core::result<ports::key_value>
{
    auto lock = std::unique_lock( mutex_ );
    ++reads_;
    if ( faults_.outage )
        return outage_error();
    changed_.wait_for( lock, limit,
                       [&]
                       {
                           return faults_.outage ||
                                  ( !faults_.watches_dead &&
                                    value_of( key ).version != known );
                       } );
    if ( faults_.outage )
        return core::error{ core::error_code::connection_lost,
                            "the store went down" };
    if ( faults_.watches_dead )
        return core::error{ core::error_code::timed_out, "no answer" };
    return value_of( key );
}

auto store_model::set_faults( store_faults faults ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    faults_ = faults;
    changed_.notify_all();
}

auto store_model::content() const -> std::map<std::string, ports::key_value>
{
    auto const lock = std::scoped_lock( mutex_ );
    return content_;
}

auto store_model::restore( std::map<std::string, ports::key_value> content )
    -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    content_ = std::move( content );
    changed_.notify_all();
}

auto store_model::reads() const -> std::int64_t
{
    auto const lock = std::scoped_lock( mutex_ );
    return reads_;
}

auto store_model::writes() const -> std::int64_t
{
    auto const lock = std::scoped_lock( mutex_ );
    return writes_;
}

}
