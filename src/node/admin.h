// The admin address: the backend server's word, operators' questions, and
// metrics.
//
//   POST /announce, /drain      from the backend server (see backend_watch.h)
//   GET  /status /members /reach?release=N /explain /history /metrics

#ifndef TANAGERLEDGE_SRC_NODE_ADMIN_H_
#define TANAGERLEDGE_SRC_NODE_ADMIN_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "src/adapters/http_message.h"

namespace tanagerledge {

class Node;

// Runs on the control loop.
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
