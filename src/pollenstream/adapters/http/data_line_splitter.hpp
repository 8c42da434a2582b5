#ifndef POLLENSTREAM_ADAPTERS_HTTP_DATA_LINE_SPLITTER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_DATA_LINE_SPLITTER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::adapters::http
{

/// Splits the bytes of a server-sent event stream into the values of its `data`
/// lines. Fails permanently once an incomplete line exceeds the limit.
class data_line_splitter
{
public:
    explicit data_line_splitter( std::size_t max_line_size );

    /// Appends bytes and returns the values of the data lines they complete.
    auto add( std::string_view bytes ) -> std::vector<std::string>;

    [[nodiscard]] auto has_failed() const -> bool
    {
        return failed_;
    }

private:
    std::size_t max_line_size_;
    std::string incomplete_line_;
    bool failed_{ false };
};

}

#endif
