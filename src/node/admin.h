// The HTTP pages of a node's admin address.
//
//   POST /announce          the backend server announces itself and
//   POST /drain             asks to be drained (see backend_watch.h)
//   GET  /status            state of this node and its backend server
//   GET  /members           members of the fleet
//   GET  /reach?release=N   how far a release has spread
//   GET  /explain           recent decisions of this node with their reasons
//   GET  /history           recent verdicts on releases, and the audit trail
//   GET  /metrics           Prometheus metrics

#ifndef TANAGERLEDGE_SRC_NODE_ADMIN_H_
#define TANAGERLEDGE_SRC_NODE_ADMIN_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "src/adapters/http_message.h"

namespace tanagerledge {

class Node;

// Serves the admin pages. Every method runs on the control loop.
class Admin {
 public:
  explicit Admin(Node& owner) : node(owner) {}

  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse Announce(const HttpRequest& request);
  HttpResponse Drain(const HttpRequest& request);
  HttpResponse Status(const HttpRequest& request);
  HttpResponse Members(const HttpRequest& request);
  HttpResponse Reach(const HttpRequest& request);
  HttpResponse Explain(const HttpRequest& request);
  HttpResponse History(const HttpRequest& request);
  HttpResponse Metrics(const HttpRequest& request);

  struct Page;
  static const Page kPages[];

  Node& node;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_ADMIN_H_
