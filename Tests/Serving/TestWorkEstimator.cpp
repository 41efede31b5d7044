#include <Serving/Serving.h>

#include <catch2/catch.hpp>
#include <cmath>

using namespace Radishplank;

namespace {

constexpr double sigma = 0.57;

WorkFeatures featuresOf(std::uint64_t owner, unsigned promptTokens = 350)
{
    WorkFeatures features;
    features.service = 1;
    features.route = 2;
    features.owner = owner;
    features.promptTokens = promptTokens;
    return features;
}

double logNormal(RandomEngine &random, double median)
{
    return median * std::exp(std::normal_distribution<double>(0, sigma)(random));
}

} // namespace

TEST_CASE("Work is estimated from the requests that have completed", "[WorkEstimator]")
{
    WorkEstimator estimator;
    RandomEngine random(3);
    TimePoint now{std::chrono::seconds(100)};
    const auto learn = [&](const WorkFeatures &features, int count, auto slotTime) {
        for (int i = 0; i < count; ++i) {
            now += Milliseconds(100);
            estimator.recordSlotTime(features, slotTime(), now);
            estimator.recordFirstEvent(features, 90, now);
        }
    };

    SECTION("Without data or after a restart the mean of the deployments is assumed, not zero")
    {
        const auto estimate = estimator.estimate(featuresOf(1), now);
        CHECK(estimate.slotTime.mean() == Approx(700).epsilon(0.05));
        CHECK(estimate.firstEventMs == Approx(110).epsilon(0.2));
        auto item = featuresOf(1);
        item.isBatch = true;
        CHECK(estimator.estimate(item, now).slotTime.mean() == Approx(4'500).epsilon(0.05));
    }
    SECTION("Answers of all lengths count, not the last one only")
    {
        learn(featuresOf(1), 200, [&] { return logNormal(random, 400); });
        const auto work = estimator.estimate(featuresOf(1), now).slotTime;
        CHECK(work.mean() == Approx(400 * std::exp(sigma * sigma / 2)).epsilon(0.2));
        CHECK(work.quantile(0.5) == Approx(400).epsilon(0.25));
        CHECK(work.quantile(0.9) > 1.5 * work.quantile(0.5));

        SECTION("A long stream is expected to go on; its rest is not the mean minus its age")
        {
            CHECK(work.rest(1'000) > 100);
            CHECK(work.rest(1'000) > work.mean() - 1'000);
            CHECK(work.rest(100) < work.mean());
            CHECK(work.rest(60'000) > 0);
        }
        SECTION("An unknown owner gets the estimate of the route")
        {
            const auto other = estimator.estimate(featuresOf(9), now).slotTime;
            CHECK(other.mean() == Approx(work.mean()).epsilon(0.1));
        }
        SECTION("Longer answers replace shorter ones within some seconds")
        {
            learn(featuresOf(1), 150, [&] { return logNormal(random, 1'200); });
            const auto later = estimator.estimate(featuresOf(1), now).slotTime;
            CHECK(later.quantile(0.5) > 900);
        }
        SECTION("What is old fades to the assumption")
        {
            const auto later = estimator.estimate(featuresOf(1), now + std::chrono::minutes(5));
            CHECK(later.slotTime.mean() == Approx(700).epsilon(0.05));
        }
    }
    SECTION("An owner with short and long answers is not taken for one with middling ones")
    {
        int turn = 0;
        learn(featuresOf(5), 200, [&] { return ++turn % 2 == 0 ? 200.0 : 2'000.0; });
        const auto work = estimator.estimate(featuresOf(5), now).slotTime;
        CHECK(work.mean() == Approx(1'100).epsilon(0.15));
        // Once it has run for longer than the short ones, it is a long one.
        CHECK(work.rest(400) == Approx(1'600).epsilon(0.15));
        CHECK(work.restQuantile(0, 0.3) < 300);
        CHECK(work.restQuantile(400, 0.3) > 1'200);
    }
    SECTION("Prompts of different lengths are not mixed")
    {
        learn(featuresOf(1, 100), 100, [] { return 300.0; });
        learn(featuresOf(1, 8'000), 100, [] { return 3'000.0; });
        CHECK(estimator.estimate(featuresOf(1, 100), now).slotTime.quantile(0.5) < 400);
        CHECK(estimator.estimate(featuresOf(2, 8'000), now).slotTime.quantile(0.5) > 2'000);
    }
    SECTION("Memory is bounded, and the broad keys survive the eviction of owners")
    {
        for (std::uint64_t owner = 0; owner < 5'000; ++owner)
            estimator.recordSlotTime(featuresOf(owner), 300, now);
        CHECK(estimator.keyCount() <= 512);
        CHECK(estimator.estimate(featuresOf(9'999), now).slotTime.quantile(0.5) < 400);
    }
}

TEST_CASE("The worth of a caller's hint of the length is learned", "[WorkEstimator]")
{
    WorkEstimator estimator;
    RandomEngine random(4);
    TimePoint now{std::chrono::seconds(100)};
    const auto meanWithHint = [&](unsigned hint) {
        auto features = featuresOf(1);
        features.lengthHint = hint;
        return estimator.estimate(features, now).slotTime.mean();
    };
    const auto learn = [&](int count, double errorSigma) {
        for (int i = 0; i < count; ++i) {
            now += Milliseconds(100);
            const double tokens = logNormal(random, 60);
            auto features = featuresOf(1);
            const double error = std::normal_distribution<double>(0, errorSigma)(random);
            features.lengthHint = static_cast<unsigned>(tokens * std::exp(error));
            estimator.recordSlotTime(features, 100 + 10 * tokens, now);
        }
    };

    CHECK(meanWithHint(20) == Approx(meanWithHint(200)));
    SECTION("A hint that is right is followed")
    {
        learn(300, 0);
        CHECK(meanWithHint(20) < 0.6 * meanWithHint(60));
        CHECK(meanWithHint(180) > 1.7 * meanWithHint(60));
    }
    SECTION("A hint that is often far off is followed only a little")
    {
        learn(300, 0.8);
        CHECK(meanWithHint(180) > 1.1 * meanWithHint(60));
        CHECK(meanWithHint(180) < 1.7 * meanWithHint(60));
    }
    SECTION("A request without a hint is an average one")
    {
        learn(300, 0);
        CHECK(meanWithHint(0) == Approx(100 + 10 * 70).epsilon(0.25));
    }
    SECTION("An absurd hint does not make the estimate absurd")
    {
        learn(300, 0);
        CHECK(meanWithHint(4'000'000'000) < 5'000);
        CHECK(meanWithHint(1) > 50);
    }
}
