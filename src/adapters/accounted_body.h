// Body of a received HTTP message, for Beast. It reserves room for its bytes
// before it reads them.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_ACCOUNTED_BODY_H_
#define TANAGERLEDGE_SRC_ADAPTERS_ACCOUNTED_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

#include "tanagerledge/byte_account.h"

namespace tanagerledge {

// A body of at most this size fits into a frame between nodes. It is then in
// memory up to three times: itself, encoded, and being written.
inline constexpr std::size_t kMaxFramedBodyBytes = 4 * 1024 * 1024;

// The room that a body of `bytes` needs on its way through this process.
constexpr std::size_t RoomFor(std::size_t bytes) {
  constexpr std::size_t kCopies = 3;
  return bytes <= kMaxFramedBodyBytes ? kCopies * bytes : bytes;
}

struct AccountedBody {
  // What reading fails with when the account has no room.
  static boost::system::error_code NoRoom() {
    return boost::asio::error::no_buffer_space;
  }

  // Beast prescribes the names of the two types.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct value_type {
    std::string text;
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    // The same for a body whose length is stated.
    std::size_t max_stated_bytes = std::numeric_limits<std::size_t>::max();
    ByteReservation* reservation = nullptr;  // May be null: no limit.
  };

  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& value)
        : body(value) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& error) {
      error = {};
      if (!length) {
        return;
      }
      this->body.max_bytes = this->body.max_stated_bytes;
      if (*length > this->body.max_bytes) {
        error = boost::beast::http::error::body_limit;
      } else if (!this->Reserve(*length)) {
        error = NoRoom();
      } else {
        this->body.text.reserve(*length);
      }
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      // The string doubles its memory when a body without a length exceeds it.
      constexpr std::size_t kGrowth = 2;
      const std::size_t added = boost::asio::buffer_size(buffers);
      const std::size_t total = this->body.text.size() + added;
      error = {};
      if (total > this->body.max_bytes) {
        error = boost::beast::http::error::body_limit;
        return 0;
      }
      if (total > this->body.text.capacity() &&
          !this->Reserve(kGrowth * total)) {
        error = NoRoom();
        return 0;
      }
      for (const auto part : boost::beast::buffers_range_ref(buffers)) {
        this->body.text.append(static_cast<const char*>(part.data()),
                               part.size());
      }
      return added;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    bool Reserve(std::size_t bytes) {
      return this->body.reservation == nullptr ||
             this->body.reservation->GrowTo(RoomFor(bytes));
    }

    value_type& body;
  };
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_ACCOUNTED_BODY_H_
