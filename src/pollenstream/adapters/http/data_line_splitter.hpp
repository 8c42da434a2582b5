#ifndef POLLENSTREAM_ADAPTERS_HTTP_DATA_LINE_SPLITTER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_DATA_LINE_SPLITTER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::adapters::http
{

/// Cuts the bytes of a server-sent event stream into the values of its `data`
/// lines. A line longer than the limit makes it fail for good.
class data_line_splitter
{
public:
    explicit data_line_splitter( std::size_t longest_line );

    /// Adds bytes and returns the data lines that are complete.
    auto add( std::string_view bytes ) -> std::vector<std::string>;

    [[nodiscard]] auto has_failed() const -> bool
    {
        return failed_;
    }

private:
    std::size_t longest_line_;
    std::string rest_;
    bool failed_{ false };
};

}

#endif
