// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <boost/json.hpp>

#include "caller/openai.h"

namespace reachlead {

class OpenAiTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OpenAiTest);
    CPPUNIT_TEST(readsBothKinds);
    CPPUNIT_TEST(reportsInvalidFields);
    CPPUNIT_TEST(requestsForSeveralChoicesAreRefused);
    CPPUNIT_TEST(parsesArbitraryBytes);
    CPPUNIT_TEST(quotesAnyText);
    CPPUNIT_TEST(answersAreValidJson);
    CPPUNIT_TEST_SUITE_END();

    void readsBothKinds()
    {
        std::string reason;
        const auto chat = parseCompletionRequest(
            R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})",
            CompletionKind::Chat, &reason);
        CPPUNIT_ASSERT(chat && chat->stream && chat->model == "m" && chat->prefixHash != 0);
        const auto plain =
            parseCompletionRequest(R"({"model":"m","prompt":"x"})", CompletionKind::Text, &reason);
        CPPUNIT_ASSERT(plain && !plain->stream);
    }

    void reportsInvalidFields()
    {
        const auto reasonOf = [](std::string_view body) {
            std::string reason;
            CPPUNIT_ASSERT(!parseCompletionRequest(body, CompletionKind::Chat, &reason));
            return reason;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("the body is not a JSON object"), reasonOf("[1]"));
        CPPUNIT_ASSERT_EQUAL(std::string("'model' is missing or not a string"),
                             reasonOf(R"({"model":1})"));
        CPPUNIT_ASSERT_EQUAL(std::string("'messages' is missing or empty"),
                             reasonOf(R"({"model":"m","messages":[]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("'stream' is not a boolean"),
                             reasonOf(R"({"model":"m","messages":[1],"stream":"y"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("the body is not a JSON object"),
                             reasonOf(std::string(100000, '[')));
    }

    /// Their texts would be joined into one, or an engine that answers as asked would fail.
    void requestsForSeveralChoicesAreRefused()
    {
        const auto isAccepted = [](std::string_view body) {
            std::string reason;
            return parseCompletionRequest(body, CompletionKind::Text, &reason).has_value();
        };
        for (const std::string_view n : {"2", "0", "-1", "1.5", "\"2\"", "99999999999999999999"}) {
            CPPUNIT_ASSERT(!isAccepted(R"({"model":"m","prompt":"x","n":)" + std::string(n) + "}"));
        }
        CPPUNIT_ASSERT(!isAccepted(R"({"model":"m","prompt":["x","y"]})"));
        CPPUNIT_ASSERT(!isAccepted(R"({"model":"m","prompt":[[1,2],[3]]})"));
        for (const std::string_view body :
             {R"({"model":"m","prompt":"x","n":1})", R"({"model":"m","prompt":"x","n":null})",
              R"({"model":"m","prompt":["x"]})", R"({"model":"m","prompt":[1,2,3]})"})
            CPPUNIT_ASSERT_MESSAGE(std::string(body), isAccepted(body));
    }

    void parsesArbitraryBytes()
    {
        const bool passed = rc::check("any bytes", [](const std::string &bytes) {
            std::string reason;
            (void)parseCompletionRequest(bytes, CompletionKind::Chat, &reason);
        });
        CPPUNIT_ASSERT(passed);
    }

    void quotesAnyText()
    {
        const bool passed = rc::check("quoted text parses to itself", [] {
            const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
            RC_ASSERT(boost::json::parse(quoteJson(text)).as_string() == text);
        });
        CPPUNIT_ASSERT(passed);
    }

    void answersAreValidJson()
    {
        const RequestId id{Incarnation{1}, 2};
        for (const auto kind : {CompletionKind::Chat, CompletionKind::Text}) {
            const AnswerWriter writer(kind, id, "m\"x");
            const auto whole = boost::json::parse(writer.fullAnswer("a\nb", 2));
            CPPUNIT_ASSERT(whole.at("usage").at("completion_tokens") == 2);
            const std::string piece = writer.chunk("t");
            CPPUNIT_ASSERT(piece.starts_with("data: {") && piece.ends_with("}\n\n"));
            boost::json::parse(piece.substr(6));
            CPPUNIT_ASSERT(writer.finish(2).ends_with("data: [DONE]\n\n"));
        }
        const auto error = boost::json::parse(
            errorJson(ErrorKind::PredictedLate, Outcome::NotRun, id, "why \"so\""));
        CPPUNIT_ASSERT(error.at("error").at("kind") == "predicted-late");
        CPPUNIT_ASSERT(error.at("error").at("outcome") == "not-run");
        CPPUNIT_ASSERT(error.at("error").at("retry_after") == 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenAiTest);

} // namespace reachlead
