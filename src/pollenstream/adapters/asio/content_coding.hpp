#ifndef POLLENSTREAM_ADAPTERS_ASIO_CONTENT_CODING_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CONTENT_CODING_HPP

#include <pollenstream/exchange/message.hpp>

namespace pollenstream::adapters::asio
{

/// True if a field says that the body is encoded, as with gzip.
auto has_content_coding( exchange::header_list const& fields ) -> bool;

}

#endif
