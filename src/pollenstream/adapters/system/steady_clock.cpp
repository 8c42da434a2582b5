#include <pollenstream/adapters/system/steady_clock.hpp>

#include <chrono>

namespace pollenstream::adapters::system
{

auto steady_clock::now() const -> core::instant
{
    return core::instant( std::chrono::duration_cast<core::duration>(
        std::chrono::steady_clock::now().time_since_epoch() ) );
}

}
