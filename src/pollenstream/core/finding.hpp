#ifndef POLLENSTREAM_CORE_FINDING_HPP
#define POLLENSTREAM_CORE_FINDING_HPP

#include <string>
#include <vector>

namespace pollenstream::core
{

/// The location in a settings or profile text that a finding refers to.
struct text_place
{
    std::string file;
    int line{ 0 }; ///< counted from 1; 0 if something is missing from the text
    std::string key; ///< such as `section.key`; empty if no key is concerned
};

/// One error in an operator's input. Checks continue after a finding, so that
/// all findings are reported together.
struct finding
{
    text_place place;
    std::string message;
};

/// Collects findings in the order in which they are added.
class findings
{
public:
    auto add( text_place place, std::string message ) -> void;

    [[nodiscard]] auto empty() const noexcept -> bool;
    [[nodiscard]] auto all() const noexcept -> std::vector<finding> const&;

    /// One line per finding: `file:line: key: message`.
    [[nodiscard]] auto report() const -> std::string;

private:
    std::vector<finding> all_;
};

}

#endif
