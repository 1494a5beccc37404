#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Call.h"
#include "serving/EventSplitter.h"

namespace boragepitch::relay {

/**
 * A further send of a request while an earlier one may still be answered. Holds back what its
 * endpoint answers until the call adopts it as its send; from then on it passes everything on to
 * the call.
 */
class StandbySend final : public ExchangeHandler
{
public:
  StandbySend(std::weak_ptr<Call> aCall, StandbyKind aKind)
    : kind(aKind)
    , mCall(std::move(aCall))
  {
  }

  void onSent() override;
  void onHead(const AnswerHead& aHead) override;
  void onLateHead(const AnswerHead& aHead) override;
  void onBody(std::string_view aBytes) override;
  void onEnd(ExchangeEnd aEnd) override;

  size_t heldBytes() const { return bytes.capacity() + splitter.heldBytes(); }

  const StandbyKind kind;
  Send send; ///< Until the call adopts it.
  std::optional<AnswerHead> head;
  bool isStream = false;
  std::string bytes;               ///< Of the answer, as received.
  serving::EventSplitter splitter; ///< Finds the first event of a stream.
  bool isAdopted = false;

private:
  std::weak_ptr<Call> mCall;
};

} // namespace boragepitch::relay
