// Fake backend server that writes the exact bytes given by a test. It is used
// for faults that a server with a correct HTTP implementation cannot produce.

#ifndef TANAGERLEDGE_FAKES_SCRIPTED_BACKEND_H_
#define TANAGERLEDGE_FAKES_SCRIPTED_BACKEND_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_message.h"
#include "src/adapters/net.h"

namespace tanagerledge {

class ScriptedBackend {
 public:
  // Bytes to write after a delay.
  struct Part {
    std::string bytes;
    std::chrono::milliseconds after{0};
    // Writes them again and again until the connection is closed.
    bool endless = false;
  };
  // Returns what to write for a request. `nth` is the index of the request on
  // its connection, from 0.
  using Script =
      std::function<std::vector<Part>(const HttpRequest& request, int nth)>;

  ScriptedBackend(IoLoop& io_loop, Script answer_script)
      : loop(io_loop),
        script(std::move(answer_script)),
        acceptor(io_loop.context(),
                 {boost::asio::ip::address_v4::loopback(), 0}) {
    this->loop.Spawn([this] { this->AcceptAll(); });
  }

  std::string address() const {
    return FormatAddress(this->acceptor.local_endpoint());
  }

  // All bytes that its connections have taken.
  std::size_t bytes_written() const { return this->written; }

  // Must be called on the loop. This object must outlive the loop's fibers.
  void Close() {
    this->closed = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->CloseConnections();
  }

  // Closes all connections; the server goes on listening. Must be called on the
  // loop.
  void CloseConnections() {
    boost::system::error_code ignored;
    std::ranges::for_each(this->sockets, [&ignored](const SocketPtr& socket) {
      socket->close(ignored);
    });
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using SocketPtr = std::shared_ptr<Socket>;

  void AcceptAll() {
    while (!this->closed) {
      const auto socket = std::make_shared<Socket>(this->loop.context());
      const auto error = AwaitError([&](auto done) {
        this->acceptor.async_accept(*socket, std::move(done));
      });
      if (!error && !this->closed) {
        this->sockets.push_back(socket);
        this->loop.SpawnHere([this, socket] { this->Serve(*socket); });
      }
    }
  }

  void Serve(Socket& socket) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    for (int nth = 0;; ++nth) {
      http::request<http::string_body> read;
      if (!Await<std::size_t>([&](auto done) {
            http::async_read(socket, buffer, read, std::move(done));
          })) {
        return;
      }
      HttpRequest request;
      request.target = std::string(read.target());
      std::ranges::for_each(read, [&request](const auto& field) {
        request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
      });
      std::ranges::for_each(this->script(request, nth), [&](const Part& part) {
        this->loop.SleepFor(part.after);
        while (this->Write(socket, part.bytes) && part.endless) {
        }
      });
    }
  }

  bool Write(Socket& socket, const std::string& bytes) {
    const auto result = Await<std::size_t>([&](auto done) {
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               std::move(done));
    });
    this->written += result.value;
    return !result.error;
  }

  IoLoop& loop;
  Script script;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<SocketPtr> sockets;
  std::atomic<std::size_t> written{0};
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_SCRIPTED_BACKEND_H_
