#include "resources/Diff.h"

namespace boragepitch::resources {

std::vector<Difference> differences(const Snapshot& aOld, const Snapshot& aNew)
{
  std::vector<Difference> result;
  auto older = aOld.all().begin();
  auto newer = aNew.all().begin();
  while (older != aOld.all().end() || newer != aNew.all().end()) {
    bool onlyOld =
      newer == aNew.all().end() || (older != aOld.all().end() && older->first < newer->first);
    bool onlyNew = !onlyOld && (older == aOld.all().end() || newer->first < older->first);
    if (onlyOld) {
      result.push_back({ DifferenceType::Removed, older->second });
      ++older;
    } else if (onlyNew) {
      result.push_back({ DifferenceType::Added, newer->second });
      ++newer;
    } else {
      if (older->second->resourceVersion != newer->second->resourceVersion) {
        result.push_back({ DifferenceType::Changed, newer->second });
      }
      ++older;
      ++newer;
    }
  }
  return result;
}

} // namespace boragepitch::resources
