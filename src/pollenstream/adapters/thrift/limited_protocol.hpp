#ifndef POLLENSTREAM_ADAPTERS_THRIFT_LIMITED_PROTOCOL_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_LIMITED_PROTOCOL_HPP

#include <pollenstream/adapters/thrift/frame_limits.hpp>

#include <thrift/protocol/TBinaryProtocol.h>

#include <memory>
#include <utility>

namespace pollenstream::adapters::thrift
{

/// The protocol between instances over `transport`, with limits on what the
/// other side may announce.
inline auto limited_protocol(
    std::shared_ptr<apache::thrift::transport::TTransport> transport )
    -> std::shared_ptr<apache::thrift::protocol::TBinaryProtocol>
{
    auto protocol = std::make_shared<apache::thrift::protocol::TBinaryProtocol>(
        std::move( transport ) );
    protocol->setContainerSizeLimit( max_list_entries );
    protocol->setStringSizeLimit( static_cast<int>( max_frame_size ) );
    return protocol;
}

}

#endif
