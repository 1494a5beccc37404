#include "StandbySend.h"

namespace boragepitch::relay {

void StandbySend::onSent()
{
  if (auto call = mCall.lock()) {
    isAdopted ? call->onSent() : call->onStandbySent(*this);
  }
}

void StandbySend::onHead(const AnswerHead& aHead)
{
  if (auto call = mCall.lock()) {
    isAdopted ? call->onHead(aHead) : call->onStandbyHead(*this, aHead);
  }
}

void StandbySend::onLateHead(const AnswerHead& aHead)
{
  if (auto call = mCall.lock()) {
    isAdopted ? call->onLateHead(aHead) : call->onStandbyLateHead(*this, aHead);
  }
}

void StandbySend::onBody(std::string_view aBytes)
{
  if (auto call = mCall.lock()) {
    isAdopted ? call->onBody(aBytes) : call->onStandbyBody(*this, aBytes);
  }
}

void StandbySend::onEnd(ExchangeEnd aEnd)
{
  if (auto call = mCall.lock()) {
    isAdopted ? call->onEnd(aEnd) : call->onStandbyEnd(*this, aEnd);
  }
}

} // namespace boragepitch::relay
