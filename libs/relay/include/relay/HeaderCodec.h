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

/** First value of a header; empty when it is absent. Names are case-insensitive. */
std::string_view headerValue(const HeaderLines& aLines, std::string_view aName);

/** What a caller's headers say about its request. */
struct RequestFacts
{
  std::string attemptId;                      ///< Differs for each attempt of a caller.
  std::optional<base::Milliseconds> timeLeft; ///< How long the caller will wait for the answer.
  std::string key;                            ///< Empty when none was sent.
  std::string model;
  uint64_t promptTokens = 0;
  uint64_t maxAnswerTokens = 0;
  /** Parts of the prompt that other requests may share, without the request's own last part. */
  std::vector<uint64_t> sharedParts;
  std::optional<uint64_t> lastEvent; ///< Id of the event after which the stream resumes.
};

/** What the relay tells an endpoint in addition to the caller's headers. */
struct ForwardFacts
{
  std::string endpointId;                ///< No other endpoint may run the request.
  base::Milliseconds timeLeft{ 0 };      ///< Time until the request's deadline.
  std::string workspace;                 ///< Empty when the route needs no key.
  std::optional<uint64_t> weightVersion; ///< The request must run on this version, if set.
  int priority = 5;                      ///< 0 is the most urgent, 9 the least.
  std::optional<uint64_t> lastEvent;     ///< Id of the event after which the stream resumes.
};

/** What the head of an endpoint's answer says about the answer and the endpoint. */
struct AnswerFacts
{
  std::string attemptId;  ///< Attempt id of the request that is answered; empty when absent.
  bool isSigned = false;  ///< The answer has the endpoint's signature header.
  bool notRun = false;    ///< The endpoint states that it did not run the request.
  bool isEncoded = false; ///< The body has a content encoding, which no endpoint applies.
  bool isLeaving = false; ///< The endpoint announces that it takes no new requests and will stop.
  /** Set with status 503 only: time for which the endpoint asks for no requests. */
  std::optional<base::Milliseconds> retryAfter;
  /** Requests a second that the endpoint takes from all entries together; empty for no limit. */
  std::optional<double> requestLimit;
  std::optional<uint64_t> weightVersion;       ///< Version of the weights that produced the answer.
  std::optional<base::Milliseconds> keepAlive; ///< Idle time after which the endpoint closes.
};

/** Translates between header lines and facts. Implementations know the header names of a platform
 * and make no decisions. */
class HeaderCodec
{
public:
  virtual ~HeaderCodec() = default;
  virtual RequestFacts readRequest(const HeaderLines& aHeaders) const = 0;
  /** Removes the headers that callers may not pass to endpoints, and writes the facts. */
  virtual void writeForward(HeaderLines& aHeaders, const ForwardFacts& aFacts) const = 0;
  virtual AnswerFacts readAnswer(int aStatus, const HeaderLines& aHeaders) const = 0;
};

} // namespace boragepitch::relay
