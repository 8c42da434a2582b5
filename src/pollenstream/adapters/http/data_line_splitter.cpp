#include <pollenstream/adapters/http/data_line_splitter.hpp>

namespace pollenstream::adapters::http
{

namespace
{

constexpr auto data_prefix = std::string_view( "data:" );

auto trim_value( std::string_view text ) -> std::string_view
{
    if ( !text.empty() && text.front() == ' ' )
        text.remove_prefix( 1 );
    if ( !text.empty() && text.back() == '\r' )
        text.remove_suffix( 1 );
    return text;
}

}

data_line_splitter::data_line_splitter( std::size_t max_line_size )
    : max_line_size_( max_line_size )
{
}

auto data_line_splitter::add( std::string_view bytes )
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    if ( failed_ )
        return lines;
    incomplete_line_.append( bytes );
    auto begin = std::size_t{ 0 };
    auto end = incomplete_line_.find( '\n' );
    while ( end != std::string::npos )
    {
        auto const line =
            std::string_view( incomplete_line_ ).substr( begin, end - begin );
        if ( line.substr( 0, data_prefix.size() ) == data_prefix )
            lines.emplace_back(
                trim_value( line.substr( data_prefix.size() ) ) );
        begin = end + 1;
        end = incomplete_line_.find( '\n', begin );
    }
    incomplete_line_.erase( 0, begin );
    failed_ = incomplete_line_.size() > max_line_size_;
    return lines;
}

}
