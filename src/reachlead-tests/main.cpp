// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Runs every unit test: `reachlead-tests [NAME-PART]`. Ends with `N passed, N failed`. Where
/// REACHLEAD_KNOWN_RED names a file, the tests whose whole names begin its lines are passed over
/// and printed. Where REACHLEAD_TEST_SHARD is `K/N`, only every Nth test is run, from the Kth on.

#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <reachlead/log.h>

namespace {

/// The first words of the lines of the file that the environment names; none without it.
std::set<std::string> knownRed()
{
    std::set<std::string> names;
    const char *path = getenv("REACHLEAD_KNOWN_RED");
    std::ifstream file(path != nullptr ? path : "");
    for (std::string line; std::getline(file, line);)
        names.insert(line.substr(0, line.find(' ')));
    return names;
}

/// Which of the tests are run.
struct Choice
{
    std::string part; ///< of the names
    std::set<std::string> red;
    std::size_t shard = 1; ///< from 1 on
    std::size_t shards = 1;
};

/// Reads `K/N` from the environment; false if it is set to anything else.
bool readShard(Choice *choice)
{
    const char *text = getenv("REACHLEAD_TEST_SHARD");
    if (text == nullptr)
        return true;
    std::istringstream in(text);
    char slash = 0;
    return in >> choice->shard >> slash >> choice->shards && slash == '/' && choice->shard > 0
        && choice->shard <= choice->shards && in.peek() == std::istringstream::traits_type::eof();
}

/// Runs the chosen tests; \p count is the number of tests met so far.
void runMatching(CppUnit::Test &test, const Choice &choice, std::size_t *count,
                 CppUnit::TestResult *result)
{
    if (test.getChildTestCount() == 0) {
        if (++*count % choice.shards != choice.shard % choice.shards)
            return;
        if (choice.red.contains(test.getName()))
            std::cout << "known red, passed over: " << test.getName() << std::endl;
        else if (test.getName().find(choice.part) != std::string::npos)
            test.run(result);
        return;
    }
    for (int n = 0; n < test.getChildTestCount(); ++n)
        runMatching(*test.getChildTestAt(n), choice, count, result);
}

} // namespace

int main(int argc, char **argv)
{
    reachlead::setLogLevel(reachlead::LogLevel::Error);
    Choice choice;
    choice.part = argc > 1 ? argv[1] : "";
    choice.red = knownRed();
    if (!readShard(&choice)) {
        std::cerr << "REACHLEAD_TEST_SHARD must be K/N with 1 <= K <= N" << std::endl;
        return 2;
    }
    // The same seed gives the same verdict; another can be given in the environment.
    setenv("RC_PARAMS", "seed=20261202 max_success=300", 0);
    std::cout << "RC_PARAMS=" << getenv("RC_PARAMS") << std::endl;
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::size_t count = 0;
    runMatching(*all, choice, &count, &result);
    CppUnit::CompilerOutputter(&collector, std::cout).write();
    std::set<const CppUnit::Test *> failed;
    for (const CppUnit::TestFailure *failure : collector.failures())
        failed.insert(failure->failedTest());
    const auto run = static_cast<std::size_t>(collector.runTests());
    std::cout << run - failed.size() << " passed, " << failed.size() << " failed" << std::endl;
    return failed.empty() && run > 0 ? 0 : 1;
}
