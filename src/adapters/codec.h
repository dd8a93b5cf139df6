// Encodes and decodes Thrift messages with the compact protocol.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_CODEC_H_
#define TANAGERLEDGE_SRC_ADAPTERS_CODEC_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerledge {

struct DecodeError {
  std::string text;
};

// Elements in one list, set or map. Thrift allocates as many elements as the
// message declares before it reads them; this bounds what a short message with
// a false count can make it allocate.
inline constexpr std::int32_t kMaxContainerElements = 65'536;

// Encodes a Thrift struct.
template <typename Message>
std::string Encode(const Message& message) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

// Decodes a Thrift struct from untrusted bytes.
template <typename Message>
tl::expected<Message, DecodeError> Decode(std::string_view bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  const auto limit = static_cast<std::int32_t>(bytes.size());
  const auto container_limit = std::min(limit, kMaxContainerElements);
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
      buffer, limit, container_limit);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception& error) {
    return tl::unexpected(DecodeError{error.what()});
  }
  return message;
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_CODEC_H_
