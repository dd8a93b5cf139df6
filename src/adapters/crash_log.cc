#include "src/adapters/crash_log.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <ctime>

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxTextBytes = 60;

// A text of fixed size, since a signal handler must not allocate memory.
class FixedText {
 public:
  void Set(std::string_view text) {
    this->size = std::min(text.size(), kMaxTextBytes);
    std::copy_n(text.begin(), this->size, this->bytes.begin());
  }
  std::string_view View() const { return {this->bytes.data(), this->size}; }

 private:
  std::array<char, kMaxTextBytes> bytes{};
  std::size_t size = 0;
};

FixedText node_name;
thread_local FixedText activity;
thread_local FixedText activity_subject;

struct EndingSignal {
  int number;
  std::string_view name;
};
constexpr std::array<EndingSignal, 5> kEndingSignals = {
    EndingSignal{SIGABRT, "SIGABRT"}, EndingSignal{SIGBUS, "SIGBUS"},
    EndingSignal{SIGFPE, "SIGFPE"}, EndingSignal{SIGILL, "SIGILL"},
    EndingSignal{SIGSEGV, "SIGSEGV"}};

// One line in a buffer of fixed size.
class Line {
 public:
  Line& operator<<(std::string_view text) {
    const std::size_t count =
        std::min(text.size(), this->bytes.size() - this->used);
    std::copy_n(text.begin(), count, this->bytes.begin() + this->used);
    this->used += count;
    return *this;
  }
  Line& operator<<(std::int64_t number) {
    constexpr int kBase = 10;
    constexpr std::size_t kMaxDigits = 20;
    std::array<char, kMaxDigits> digits{};
    std::size_t first = digits.size();
    do {
      digits[--first] = static_cast<char>('0' + number % kBase);
      number /= kBase;
    } while (number > 0);
    return *this << std::string_view(&digits[first], digits.size() - first);
  }
  // Characters that JSON would need to escape become question marks.
  Line& operator<<(const FixedText& text) {
    const std::size_t begin = this->used;
    *this << text.View();
    std::replace_if(
        this->bytes.begin() + begin, this->bytes.begin() + this->used,
        [](char c) { return c < ' ' || c > '~' || c == '"' || c == '\\'; },
        '?');
    return *this;
  }
  std::string_view View() const { return {this->bytes.data(), this->used}; }

 private:
  std::array<char, 512> bytes{};
  std::size_t used = 0;
};

std::int64_t UnixMillisecondsInHandler() {
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

// Calls only functions that a signal handler may call. The handler has been
// reset to the default, which ends the process.
extern "C" void OnEndingSignal(int number) {
  const auto known =
      std::ranges::find(kEndingSignals, number, &EndingSignal::number);
  Line line;
  // The log may have written a part of a line.
  line << "\n{\"at_ms\":" << UnixMillisecondsInHandler() << ",\"node\":\""
       << node_name << "\",\"event\":\"ended by signal\",\"signal\":\""
       << (known == kEndingSignals.end() ? std::string_view("") : known->name)
       << "\",\"last_activity\":\"" << activity << "\",\"subject\":\""
       << activity_subject << "\"}\n";
  const auto written =
      write(STDOUT_FILENO, line.View().data(), line.View().size());
  static_cast<void>(written);
  raise(number);
}

}  // namespace

void StartCrashLog(std::string_view node) {
  node_name.Set(node);
  std::ranges::for_each(kEndingSignals, [](const EndingSignal& each) {
    struct sigaction action {};
    action.sa_handler = &OnEndingSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    sigaction(each.number, &action, nullptr);
  });
}

void NoteActivity(std::string_view what, std::string_view subject) {
  activity.Set(what);
  activity_subject.Set(subject);
}

}  // namespace tanagerledge
