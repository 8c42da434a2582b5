#ifndef POLLENSTREAM_PEERS_ADDRESS_MEMORY_HPP
#define POLLENSTREAM_PEERS_ADDRESS_MEMORY_HPP

#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace pollenstream::peers
{

/// The IP addresses at which other instances have been heard of, from messages
/// or records. They outlast the instances' silence by far: instances
/// behind a network partition still use their shares of what all divide.
class address_memory
{
public:
    /// Returns true if the address was not known. One too many is not noted.
    auto note( std::string const& ip, core::instant now ) -> bool;
    /// Forgets addresses that were not noted for long; true if there were any.
    auto forget_old( core::instant now ) -> bool;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return last_noted_.size();
    }

private:
    std::map<std::string, core::instant> last_noted_;
};

}

#endif
