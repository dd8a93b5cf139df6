// Loopback addresses for nodes that are started, stopped and started again.

#ifndef TANAGERLEDGE_FAKES_RESERVED_ADDRESS_H_
#define TANAGERLEDGE_FAKES_RESERVED_ADDRESS_H_

#include <string>

namespace tanagerledge {

// Returns `127.0.0.1:PORT` with a port that nobody else gets until this process
// ends: neither a later call, nor another process that calls this function, nor
// an outgoing connection. The port is unused when the function returns. Throws
// std::runtime_error if all ports are taken.
std::string ReserveAddress();

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_RESERVED_ADDRESS_H_
