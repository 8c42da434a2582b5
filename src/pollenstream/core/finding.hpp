#ifndef POLLENSTREAM_CORE_FINDING_HPP
#define POLLENSTREAM_CORE_FINDING_HPP

#include <string>
#include <vector>

namespace pollenstream::core
{

/// Where in a settings or profile text a finding was made.
struct text_place
{
    std::string file;
    int line{ 0 };   ///< from 1; 0 where the text lacks something
    std::string key; ///< `section.key`, empty where no key is meant
};

/// One fault in an operator's input. Checks go on after a finding, so that
/// all of them are reported together.
struct finding
{
    text_place place;
    std::string message;
};

/// Collects findings in the order in which they were made.
class findings
{
public:
    auto add( text_place place, std::string message ) -> void;

    [[nodiscard]] auto empty() const noexcept -> bool;
    [[nodiscard]] auto all() const noexcept -> std::vector<finding> const&;

    /// One line a finding: `file:line: key: message`.
    [[nodiscard]] auto report() const -> std::string;

private:
    std::vector<finding> all_;
};

}

#endif
