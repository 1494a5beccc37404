#pragma once

#include <string>
#include <vector>

#include "base/Json.h"

namespace boragepitch::test {

/** A valid JSON text with one value replaced by an odd one. */
struct OddText
{
  std::string path; ///< Of the replaced value, such as "model_list[0].version"; empty for the root.
  std::string odd;  ///< The replacement, shortened.
  std::string text;
};

inline std::string nested(int aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

/** Replacements: a wrong type for almost any field, or a number that few types can hold. */
inline std::vector<std::string> oddValues()
{
  return { "null",
           "true",
           "-1",
           "0.5",
           "1e300",
           "-1e300",
           "1e400",
           "-1e400",
           "\"\"",
           "[]",
           "[5]",
           "[null]",
           "[\"text\"]",
           "[[5]]",
           "[{}]",
           "{}",
           "7.25",
           "{\"a\":5}",
           "\"text\"",
           "99999999999999999999999",
           "\"10.0.0.9:0\"",
           "\"10.0.0.9:99999\"",
           "\"10.0.0.9:99999999999999999999\"",
           nested(8),
           nested(200'000) };
}

namespace detail {

inline void addOddTexts(Json::Value& aRoot,
                        Json::Value& aNode,
                        const std::string& aPath,
                        std::vector<OddText>& aTexts)
{
  const std::string marker = "odd value";
  Json::Value sound = aNode;
  aNode = marker;
  std::string marked = base::writeJson(aRoot);
  aNode = sound;
  for (const std::string& odd : oddValues()) {
    std::string text = marked;
    text.replace(text.find('"' + marker + '"'), marker.size() + 2, odd);
    aTexts.push_back({ aPath, odd.substr(0, 40), std::move(text) });
  }
  if (aNode.isObject()) {
    for (const std::string& key : aNode.getMemberNames()) {
      addOddTexts(aRoot, aNode[key], aPath.empty() ? key : aPath + "." + key, aTexts);
    }
  } else if (aNode.isArray()) {
    for (Json::ArrayIndex i = 0; i < aNode.size(); ++i) {
      addOddTexts(aRoot, aNode[i], aPath + "[" + std::to_string(i) + "]", aTexts);
    }
  }
}

} // namespace detail

/** All texts that differ from aSound in one value, at any level. */
inline std::vector<OddText> oddTexts(const std::string& aSound)
{
  Json::Value root = base::parseJson(aSound).value();
  std::vector<OddText> texts;
  detail::addOddTexts(root, root, "", texts);
  return texts;
}

} // namespace boragepitch::test
