#include "start_account.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace apps::tool
{

namespace
{

constexpr auto refused_prefix = "refused_";

auto text_of( log_line const& line, char const* name ) -> std::string
{
    auto const found = line.find( name );
    return found == line.end() ? std::string{} : found->second;
}

}

auto start_account::take( log_line const& line ) -> void
{
    if ( text_of( line, "what" ) != "process" )
        return;
    auto const state = text_of( line, "now" );
    auto const name = text_of( line, "name" );
    auto const reasons = text_of( line, "because" );
    if ( state == "started" )
    {
        ++starts_;
        // What its former process had refused stays counted.
        if ( auto const former = overdue_reasons_.extract( name ) )
            take_stages( former.mapped() );
    }
    else if ( state == "not_serving" )
    {
        ++overdue_;
        overdue_reasons_[name] = reasons;
    }
    else if ( state == "serving" )
    {
        overdue_reasons_.erase( name );
        auto const age = text_of( line, "age_ms" );
        served_after_ms_.push_back( std::strtod( age.c_str(), nullptr ) );
        take_stages( reasons );
    }
}

auto start_account::never_served() const -> std::int64_t
{
    return starts_ - static_cast<std::int64_t>( served_after_ms_.size() );
}

auto start_account::served_after_ms() const -> std::vector<double>
{
    auto sorted = served_after_ms_;
    std::sort( sorted.begin(), sorted.end() );
    return sorted;
}

/// Reads words of the form `name:number`.
auto start_account::take_stages( std::string const& text ) -> void
{
    auto words = std::istringstream( text );
    for ( auto word = std::string{}; words >> word; )
    {
        auto const colon = word.find( ':' );
        if ( colon != std::string::npos )
            take_stage( word.substr( 0, colon ), word.substr( colon + 1 ) );
    }
}

auto start_account::take_stage( std::string const& name,
                                std::string const& value ) -> void
{
    auto const number = std::strtod( value.c_str(), nullptr );
    if ( name.starts_with( refused_prefix ) )
    {
        auto const reason = name.substr( std::string( refused_prefix ).size() );
        refused_[reason] += static_cast<std::int64_t>( number );
        return;
    }
    auto& longest = longest_stages_ms_[name];
    longest = std::max( longest, number );
}

}
