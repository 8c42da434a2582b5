#include <pollenstream/adapters/http/data_line_splitter.hpp>

namespace pollenstream::adapters::http
{

namespace
{

constexpr auto data_prefix = std::string_view( "data:" );

auto without_blank( std::string_view text ) -> std::string_view
{
    if ( !text.empty() && text.front() == ' ' )
        text.remove_prefix( 1 );
    if ( !text.empty() && text.back() == '\r' )
        text.remove_suffix( 1 );
    return text;
}

}

data_line_splitter::data_line_splitter( std::size_t longest_line )
    : longest_line_( longest_line )
{
}

auto data_line_splitter::add( std::string_view bytes )
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    if ( failed_ )
        return lines;
    rest_.append( bytes );
    auto begin = std::size_t{ 0 };
    auto end = rest_.find( '\n' );
    while ( end != std::string::npos )
    {
        auto const line =
            std::string_view( rest_ ).substr( begin, end - begin );
        if ( line.substr( 0, data_prefix.size() ) == data_prefix )
            lines.emplace_back(
                without_blank( line.substr( data_prefix.size() ) ) );
        begin = end + 1;
        end = rest_.find( '\n', begin );
    }
    rest_.erase( 0, begin );
    failed_ = rest_.size() > longest_line_;
    return lines;
}

}
