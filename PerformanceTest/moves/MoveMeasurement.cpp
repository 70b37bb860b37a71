#include "PerformanceTest/moves/MoveMeasurement.h"

#include "PerformanceTest/moves/MoveTrial.h"

#include <boost/program_options.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <map>
#include <thread>

namespace cuminfield::performance_test::moves {

namespace {

struct MeasurementOptions
{
  std::uint32_t seeds = 10;
  std::uint32_t moves = 100;
  std::uint32_t threads = 2;
  double rate = 0.0; ///< Requests per second; 0 draws a rate for each move.
  bool isVerbose = false;
};

using SeedResults = std::vector<TrialResult>;

/// Statistics over a set of moves.
struct MoveStatistics
{
  std::uint32_t bad = 0;
  std::uint32_t badRolledBack = 0;
  std::uint32_t good = 0;
  std::uint32_t goodRolledBack = 0;
  std::uint32_t goodFinished = 0;
  std::uint32_t coordinatorFailures = 0;
  std::uint32_t movesWithCoordinatorFailure = 0;
  std::uint32_t correctWithCoordinatorFailure = 0;
  std::uint32_t partitioned = 0;
  std::uint32_t correctWhenPartitioned = 0;
  std::uint32_t rolledBackWhilePartitioned = 0;
  std::vector<double> faultyPercents;
  std::vector<double> newVersionPercents;
  std::vector<double> rollBackLags;
  std::vector<double> earlyRollBackLags;
};

bool ParseOptions(int aArgc, char** aArgv, MeasurementOptions& aOptions)
{
  namespace po = boost::program_options;
  po::options_description description("options of the versions measurement");
  description.add_options()("seeds", po::value(&aOptions.seeds), "seeds");
  description.add_options()("moves", po::value(&aOptions.moves), "moves per seed");
  description.add_options()("threads", po::value(&aOptions.threads), "threads");
  description.add_options()("rate", po::value(&aOptions.rate),
                            "requests per second; 0 draws a rate per move");
  description.add_options()("verbose", po::bool_switch(&aOptions.isVerbose),
                            "print each move that missed a target");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return false;
  }
  return true;
}

TrialResult RunMove(std::uint32_t aSeed, std::uint32_t aMove, double aRate)
{
  core::Random random(aSeed * 1'000'003ULL + aMove);
  std::optional<Fault> fault;
  if (aMove % 2 == 1) {
    // Each seed starts at another combination, so that all combinations occur equally often.
    fault = DrawFault(aMove / 2 + aSeed * 50, kRouteCount, random);
  }
  return MoveTrial(random.Bits(), fault, aRate).Run();
}

std::vector<SeedResults> RunAllMoves(const MeasurementOptions& aOptions)
{
  std::vector<SeedResults> results(aOptions.seeds, SeedResults(aOptions.moves));
  std::atomic<std::uint32_t> next{ 0 };
  const auto runMoves = [&] {
    for (std::uint32_t it = next++; it < aOptions.seeds * aOptions.moves; it = next++) {
      const std::uint32_t seed = it / aOptions.moves;
      const std::uint32_t move = it % aOptions.moves;
      results[seed][move] = RunMove(seed + 1, move, aOptions.rate);
    }
  };
  std::vector<std::thread> threads;
  for (std::uint32_t it = 0; it < aOptions.threads; ++it) {
    threads.emplace_back(runMoves);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return results;
}

double Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double position = aShare * static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(position))];
}

std::ptrdiff_t CountLateRollBacks(const std::vector<double>& aLags)
{
  return std::count_if(aLags.begin(), aLags.end(), [](double aLag) { return aLag > 2.0; });
}

bool IsCorrect(const TrialResult& aResult)
{
  return aResult.isBad ? aResult.isRolledBack : aResult.isFinished;
}

void AddBadMove(MoveStatistics& aFigures, const TrialResult& aResult)
{
  ++aFigures.bad;
  aFigures.badRolledBack += aResult.isRolledBack;
  aFigures.faultyPercents.push_back(100.0 * aResult.faultyShare);
  aFigures.newVersionPercents.push_back(100.0 * aResult.newVersionShare);
  if (aResult.isFaultDetectable) {
    aFigures.rollBackLags.push_back(aResult.rollBackLag);
  }
  aFigures.earlyRollBackLags.push_back(aResult.earlyRollBackLag);
}

void AddMove(MoveStatistics& aFigures, const TrialResult& aResult)
{
  if (aResult.isBad) {
    AddBadMove(aFigures, aResult);
  } else {
    ++aFigures.good;
    aFigures.goodRolledBack += aResult.isRolledBack;
    aFigures.goodFinished += aResult.isFinished;
  }
  aFigures.coordinatorFailures += aResult.coordinatorFailures;
  const bool hasDeaths = aResult.coordinatorFailures > 0;
  aFigures.movesWithCoordinatorFailure += hasDeaths;
  aFigures.correctWithCoordinatorFailure += hasDeaths && IsCorrect(aResult);
  aFigures.partitioned += aResult.hasPartition;
  aFigures.correctWhenPartitioned += aResult.hasPartition && IsCorrect(aResult);
  aFigures.rolledBackWhilePartitioned += aResult.isRolledBackWhilePartitioned;
}

double Percent(std::uint32_t aPart, std::uint32_t aTotal)
{
  return aTotal == 0 ? 100.0 : 100.0 * aPart / aTotal;
}

void PrintRow(const std::string& aName, const MoveStatistics& aFigures)
{
  fmt::print("{:<28}{:>6}{:>7}{:>8.2f}{:>8.2f}{:>8.2f}{:>8.2f}{:>8.2f}{:>8.2f}{:>6}{:>6}{:>6}\n",
             aName, aFigures.bad, aFigures.badRolledBack, Quantile(aFigures.faultyPercents, 0.5),
             Quantile(aFigures.faultyPercents, 1.0), Quantile(aFigures.newVersionPercents, 0.5),
             Quantile(aFigures.newVersionPercents, 1.0), Quantile(aFigures.rollBackLags, 0.5),
             Quantile(aFigures.rollBackLags, 1.0), aFigures.good, aFigures.goodRolledBack,
             aFigures.goodFinished);
}

void PrintMissedTargets(const TrialResult& aResult)
{
  constexpr double kMaxFaultyShare = 0.05;
  constexpr double kMaxLagSeconds = 2.0;
  const bool isLate =
    aResult.isBad && aResult.isFaultDetectable && aResult.rollBackLag > kMaxLagSeconds;
  if (IsCorrect(aResult) && !isLate && aResult.faultyShare <= kMaxFaultyShare) {
    return;
  }
  fmt::print(
    "missed target: {}: rolled back {}, finished {}, faulty {:.2f}%, lag {:.2f} s, detectable "
    "{}, failures {}+{}, partitioned {}, ended at {:.2f}: {}\n",
    aResult.label, aResult.isRolledBack, aResult.isFinished, 100.0 * aResult.faultyShare,
    aResult.rollBackLag, aResult.isFaultDetectable, aResult.coordinatorFailures,
    aResult.evaluatorFailures, aResult.hasPartition, aResult.endTimeShare, aResult.reason);
}

void PrintTable(const std::vector<SeedResults>& aResults)
{
  fmt::print("{:<28}{:>6}{:>7}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>6}{:>6}\n", "", "bad", "taken",
             "met %", "worst", "sent %", "worst", "lag s", "worst", "good", "taken", "done");
  std::map<std::string, MoveStatistics> byLabel;
  for (std::size_t seed = 0; seed < aResults.size(); ++seed) {
    MoveStatistics figures;
    for (const TrialResult& it : aResults[seed]) {
      AddMove(figures, it);
      AddMove(byLabel[it.label], it);
    }
    PrintRow(fmt::format("seed {}", seed + 1), figures);
  }
  for (const auto& [label, figures] : byLabel) {
    PrintRow(label, figures);
  }
}

void PrintSummaryLine(const MoveStatistics& aFigures)
{
  fmt::print(
    "bad={} bad_taken_back_percent={:.2f} met_median_percent={:.3f} "
    "met_worst_percent={:.3f} sent_median_percent={:.3f} sent_worst_percent={:.3f} "
    "fault_shown={} lag_median_s={:.2f} lag_p99_s={:.2f} lag_worst_s={:.2f} "
    "lag_over_2s={} early_lag_median_s={:.2f} early_lag_worst_s={:.2f} early_lag_over_2s={} "
    "good={} good_taken_back={} good_finished_percent={:.2f} "
    "director_deaths={} moves_with_deaths={} moves_with_deaths_right={} cut_off={} "
    "cut_off_right={} judged_while_cut_off={}\n",
    aFigures.bad, Percent(aFigures.badRolledBack, aFigures.bad),
    Quantile(aFigures.faultyPercents, 0.5), Quantile(aFigures.faultyPercents, 1.0),
    Quantile(aFigures.newVersionPercents, 0.5), Quantile(aFigures.newVersionPercents, 1.0),
    aFigures.rollBackLags.size(), Quantile(aFigures.rollBackLags, 0.5),
    Quantile(aFigures.rollBackLags, 0.99), Quantile(aFigures.rollBackLags, 1.0),
    CountLateRollBacks(aFigures.rollBackLags), Quantile(aFigures.earlyRollBackLags, 0.5),
    Quantile(aFigures.earlyRollBackLags, 1.0), CountLateRollBacks(aFigures.earlyRollBackLags),
    aFigures.good, aFigures.goodRolledBack, Percent(aFigures.goodFinished, aFigures.good),
    aFigures.coordinatorFailures, aFigures.movesWithCoordinatorFailure,
    aFigures.correctWithCoordinatorFailure, aFigures.partitioned, aFigures.correctWhenPartitioned,
    aFigures.rolledBackWhilePartitioned);
}

} // namespace

int RunMoveMeasurement(int aArgc, char** aArgv)
{
  MeasurementOptions options;
  if (!ParseOptions(aArgc, aArgv, options)) {
    return 2;
  }
  const std::vector<SeedResults> results = RunAllMoves(options);
  MoveStatistics all;
  for (const SeedResults& seed : results) {
    for (const TrialResult& it : seed) {
      AddMove(all, it);
      if (options.isVerbose) {
        PrintMissedTargets(it);
      }
    }
  }
  PrintTable(results);
  PrintSummaryLine(all);
  return 0;
}

} // namespace cuminfield::performance_test::moves
