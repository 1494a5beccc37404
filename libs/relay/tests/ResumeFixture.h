#pragma once

#include <cerrno>
#include <optional>
#include <vector>

#include "RelayFixture.h"

namespace boragepitch::relay::test {

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/** Head of a stream whose end is marked by the end of the connection. */
inline std::string unboundedHead(const std::string& aId,
                                 const std::string& aType = "text/event-stream")
{
  return "HTTP/1.1 200 OK\r\nId: " + aId + "\r\nSigned: s\r\nContent-Type: " + aType + "\r\n\r\n";
}

inline std::string rejection(const std::string& aId, int aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nId: " + aId +
         "\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
}

inline size_t headCount(const std::string& aText)
{
  size_t count = 0;
  for (size_t at = 0; (at = aText.find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
    ++count;
  }
  return count;
}

struct Received
{
  std::string text;
  int error = 0; ///< Error of the last read; 0 after an orderly close.
};

inline Received readToEnd(int aSocket)
{
  Received received;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = ::recv(aSocket, buffer, sizeof(buffer), 0)) > 0) {
    received.text.append(buffer, static_cast<size_t>(count));
  }
  received.error = count < 0 ? errno : 0;
  return received;
}

/** Endpoints that answer the sends of one request in the order of their scripts. */
struct ResumeFixture : Fixture
{
  using Fixture::Fixture;
  using Step = std::function<std::string(const std::string& aId)>;

  void play(std::vector<Step> aSteps,
            base::Milliseconds aTimeout = 3000ms,
            serving::CallKind aKind = serving::CallKind::Streaming,
            std::optional<int> aMaxAttempts = std::nullopt)
  {
    steps = std::move(aSteps);
    declare(aKind, aMaxAttempts.value_or(static_cast<int>(steps.size())), aTimeout);
    for (size_t i = 0; i < steps.size(); ++i) {
      endpoints.push_back(std::make_unique<FakeEndpoint>([this](const std::string& aRequest) {
        size_t step = sends++;
        return step < steps.size() ? steps[step](idOf(aRequest)) : std::string("CLOSE");
      }));
      list("e" + std::to_string(i), endpoints.back()->address());
    }
  }

  Received callToEnd(const std::string& aRequest)
  {
    int socket = connectTo(callers);
    sendAll(socket, aRequest);
    Received received = readToEnd(socket);
    ::close(socket);
    return received;
  }

  std::string stream() { return callToEnd(get("1", "Connection: close\r\n")).text; }

  static std::string brokenStream(const std::string& aId)
  {
    return streamHead(aId) + chunk(event(1)) + kPause.data() + "CLOSE";
  }

  std::vector<Step> steps;
  std::atomic<size_t> sends{ 0 };
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
};

} // namespace boragepitch::relay::test
