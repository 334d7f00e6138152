#include "review/driver-3/cases.h"
#include "review/driver-3/record.h"

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

namespace {

using namespace chervilport::review;

const std::map<std::string, std::function<case_result(record&, bool)>> cases {
    { "many-ends", runManyEnds },
    { "failing-service", runFailingService },
    { "clock-back", runClockBack },
    { "spread-guarantee", runSpreadGuarantee },
    { "first-config", runFirstConfig },
};

const char* nameOf(case_result result)
{
    switch (result) {
    case case_result::Held:
        return "held";
    case case_result::Broken:
        return "broken";
    case case_result::NotRun:
        return "not run";
    }
    return "unknown";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3 || !cases.contains(argv[1])) {
        std::cerr << "Usage: driver-3 CASE RECORD\n";
        return static_cast<int>(case_result::NotRun);
    }
    const auto* const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    record log(argv[2]);
    auto result = case_result::NotRun;
    try {
        log.add(std::string(argv[1]) + (hasTrouble ? "" : " without the disruption"));
        result = cases.at(argv[1])(log, hasTrouble);
    } catch (const std::exception& error) {
        log.add(std::string("error: ") + error.what());
    }
    log.add(std::string("result: ") + nameOf(result));
    std::cout << nameOf(result) << '\n';
    return static_cast<int>(result);
}
