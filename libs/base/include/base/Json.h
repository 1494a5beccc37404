#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <json/value.h>

#include "base/Error.h"

namespace boragepitch::base {

/** Bounds on JSON input from outside the process. */
struct JsonLimits
{
  size_t bytes = 1 << 20; ///< Longest text, bytes.
  int depth = 32;         ///< Deepest nesting.
};

/** Parses strictly: rejects duplicate keys, trailing text and input over the limits. */
Result<Json::Value> parseJson(std::string_view aText, JsonLimits aLimits = {});

/** Compact single-line form. Keys are sorted, so equal values give equal text. */
std::string writeJson(const Json::Value& aValue);

/** Typed member look-ups. The error names aPath + "." + aKey and the accepted type or range. */
Result<std::string> requireString(const Json::Value& aObject,
                                  const std::string& aKey,
                                  const std::string& aPath = "");
Result<int64_t> requireInt(const Json::Value& aObject,
                           const std::string& aKey,
                           int64_t aMin,
                           int64_t aMax,
                           const std::string& aPath = "");
Result<bool> requireBool(const Json::Value& aObject,
                         const std::string& aKey,
                         const std::string& aPath = "");

/** Lenient look-ups for messages between our own processes: return the default when the member is
 * absent or of another type.
 */
std::string stringOr(const Json::Value& aObject, const char* aKey, std::string aDefault = "");
int64_t intOr(const Json::Value& aObject, const char* aKey, int64_t aDefault);
bool boolOr(const Json::Value& aObject, const char* aKey, bool aDefault);

} // namespace boragepitch::base
