#include "table.hpp"

#include <algorithm>
#include <iomanip>

namespace apps::tool
{

namespace
{

auto cell( web::json::value const& row, std::string const& column )
    -> std::string
{
    if ( !row.has_field( column ) )
        return "-";
    auto const& value = row.at( column );
    return value.is_string() ? value.as_string() : value.serialize();
}

}

auto print_table( web::json::value const& rows,
                  std::vector<std::string> const& columns,
                  std::ostream& out ) -> void
{
    auto widths = std::vector<std::size_t>{};
    for ( auto const& column : columns )
    {
        auto width = column.size();
        for ( auto const& row : rows.as_array() )
            width = std::max( width, cell( row, column ).size() );
        widths.push_back( width );
    }
    auto const print = [&]( auto const& text_of )
    {
        for ( auto i = std::size_t{ 0 }; i < columns.size(); ++i )
            out << std::left << std::setw( static_cast<int>( widths[i] + 2 ) )
                << text_of( columns[i] );
        out << '\n';
    };
    print(
        []( std::string const& column )
        {
            return column;
        } );
    for ( auto const& row : rows.as_array() )
        print(
            [&]( std::string const& column )
            {
                return cell( row, column );
            } );
}

}
