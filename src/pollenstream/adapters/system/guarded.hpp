#ifndef POLLENSTREAM_ADAPTERS_SYSTEM_GUARDED_HPP
#define POLLENSTREAM_ADAPTERS_SYSTEM_GUARDED_HPP

#include <glog/logging.h>

#include <exception>

namespace pollenstream::adapters::system
{

/// Runs `work` of a thread or of an event loop that ends the process if it
/// throws. Logs what it has thrown, with `what` it was, and returns false then.
template <class Work>
auto run_guarded( char const* what, Work const& work ) -> bool
{
    try
    {
        work();
        return true;
    }
    catch ( std::exception const& e )
    {
        LOG( ERROR ) << what << " has failed: " << e.what();
        return false;
    }
}

}

#endif
