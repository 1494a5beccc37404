#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace boragepitch::relay {

/** One header line of a message. */
struct HeaderLine
{
  std::string name;
  std::string value;
};

using HeaderLines = std::vector<HeaderLine>;

/** First value of a header; empty when it is absent. Names compare without case. */
std::string_view headerValue(const HeaderLines& aLines, std::string_view aName);

/** What a caller's headers say about its request. */
struct RequestFacts
{
  std::string attemptId;                      ///< Differs for each attempt of a caller.
  std::optional<base::Milliseconds> timeLeft; ///< How long the caller waits.
  std::string key;                            ///< Empty when none was sent.
  std::string model;
  uint64_t promptTokens = 0;
  uint64_t maxAnswerTokens = 0;
  std::optional<uint64_t> lastEvent; ///< The stream continues after this event.
};

/** What the relay tells an endpoint beside the caller's own headers. */
struct ForwardFacts
{
  std::string endpointId; ///< Any other endpoint must not run the request.
  base::Milliseconds timeLeft{ 0 };
  std::string workspace;                 ///< Empty when the route needs no key.
  std::optional<uint64_t> weightVersion; ///< Only these weights may answer.
  int priority = 5;                      ///< 0 is the most urgent, 9 the least.
  std::optional<uint64_t> lastEvent;
};

/** What the head of an endpoint's answer says. */
struct AnswerFacts
{
  std::string attemptId;  ///< Of the request that is answered; empty when absent.
  bool isSigned = false;  ///< Bears the endpoint's signature.
  bool notRun = false;    ///< The endpoint states that it did not run the request.
  bool isEncoded = false; ///< The body has a content encoding: not what the endpoint made.
  bool isLeaving = false; ///< The endpoint announces that it takes no new requests and will end.
  /** With a 503: the endpoint wants no request from this process for so long. */
  std::optional<base::Milliseconds> retryAfter;
  std::optional<uint64_t> weightVersion;
  std::optional<base::Milliseconds> keepAlive; ///< Idle time after which the endpoint closes.
};

/** The header names of a deployment. Implementations hold names only and decide nothing. */
class Dialect
{
public:
  virtual ~Dialect() = default;
  virtual RequestFacts readRequest(const HeaderLines& aHeaders) const = 0;
  /** Removes what callers may not pass on, and sets what the facts say. */
  virtual void writeForward(HeaderLines& aHeaders, const ForwardFacts& aFacts) const = 0;
  virtual AnswerFacts readAnswer(int aStatus, const HeaderLines& aHeaders) const = 0;
};

} // namespace boragepitch::relay
