#include "Routing/SpeedEstimator.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// A new leader learns a service's profile for this long before it compares
/// servers with it, and publishes nothing before LearningTime.
constexpr Common::Duration ProfileLearningTime =
    std::chrono::milliseconds(1200);
constexpr Common::Duration LearningTime = std::chrono::seconds(3);
constexpr Common::Duration PublishPeriod = std::chrono::seconds(2);
/// Servers without samples for longer are forgotten.
constexpr Common::Duration Retention = std::chrono::seconds(60);
/// Smaller differences, as a logarithm, are not worth a change of placement.
constexpr double MinDifference = 0.1;
constexpr double MinPublishedChange = 0.12;
/// Periods with samples that count as much as the assumption that a new server
/// is like the others, and that its prefill is as fast as its decoding.
constexpr double PriorWeight = 4;
constexpr double MaxSpeed = 10;
/// Decoding steps after which older ones count half or less in the profile.
constexpr double ProfileMemorySteps = 200'000;
/// Decoding steps that a first profile requires.
constexpr double MinProfileSteps = 200;
/// Below this variation coefficient of the running requests, their influence on
/// a step cannot be told from its constant part.
constexpr double MinVariation = 0.15;
/// Step of the estimated upper quartile of the prefill rate: at first this,
/// then reduced with the number of samples.
constexpr double FirstRateStep = 0.1;
constexpr double MinRateStep = 0.005;
/// Time constant of the mean slowness of a service's servers. Long, so that the
/// servers that did not change keep their speeds when others do.
constexpr double MeanSeconds = 30;

double stepMilliseconds(const EngineProfile &Profile, double Steps,
                        double RequestSteps) {
  return Profile.StepMilliseconds * Steps +
         Profile.StepMillisecondsPerRequest * RequestSteps;
}

} // namespace

void SpeedEstimator::record(const ServerTiming &Timing, Common::TimePoint Now) {
  const auto IsUsable = [](float Value) {
    return std::isfinite(Value) && Value >= 0 && Value < 1e9F;
  };
  if (!IsUsable(Timing.PrefillTokens) ||
      !IsUsable(Timing.PrefillMilliseconds) || !IsUsable(Timing.DecodeSteps) ||
      !IsUsable(Timing.DecodeRequestSteps) ||
      !IsUsable(Timing.DecodeMilliseconds))
    return;
  Server &At = this->Servers[Timing.Id];
  if (Timing.StartedAt < At.StartedAt)
    return;
  if (Timing.StartedAt > At.StartedAt) {
    At = Server();
    At.StartedAt = Timing.StartedAt;
    At.Published.Id = Timing.Id;
    At.Published.StartedAt = Timing.StartedAt;
  }
  At.Service = Timing.Service;
  At.RecordedAt = Now;
  Service &Of = this->Services[Timing.Service];
  if (Of.FirstRecordedAt == Common::TimePoint()) {
    Of.FirstRecordedAt = Now;
    Of.Profile.Service = Timing.Service;
  }
  this->learnProfile(Of, At, Timing);
  if (Now - Of.FirstRecordedAt < ProfileLearningTime)
    return;
  if (Of.Profile.PromptTokensPerMillisecond > 0)
    At.Prefill.record(
        Timing.PrefillMilliseconds,
        Timing.PrefillTokens / Of.Profile.PromptTokensPerMillisecond, Now);
  const double Expected = stepMilliseconds(Of.Profile, Timing.DecodeSteps,
                                           Timing.DecodeRequestSteps);
  if (Expected > 0)
    At.Decode.record(Timing.DecodeMilliseconds, Expected, Now);
}

void SpeedEstimator::learnProfile(Service &Of, const Server &At,
                                  const ServerTiming &Timing) {
  EngineProfile &Profile = Of.Profile;
  if (Timing.PrefillTokens > 0 && Timing.PrefillMilliseconds > 0) {
    const double Sample = Timing.PrefillTokens / Timing.PrefillMilliseconds /
                          At.Published.Prefill;
    double &Rate = Profile.PromptTokensPerMillisecond;
    // Converges to the value that a quarter of the samples exceed: prompts that
    // were cached against expectation are rarer than unknown queues.
    const double Step =
        std::max(MinRateStep, FirstRateStep / (1 + Of.RateSamples / 10));
    Of.RateSamples += 1;
    if (Rate <= 0)
      Rate = Sample;
    else
      Rate *= Sample > Rate ? 1 + 3 * Step : 1 / (1 + Step);
  }
  if (Timing.DecodeSteps <= 0 || Timing.DecodeMilliseconds <= 0)
    return;
  const double Steps = Timing.DecodeSteps;
  const double X = Timing.DecodeRequestSteps / Steps;
  const double Y = Timing.DecodeMilliseconds / Steps * At.Published.Decode;
  const double Keep = 1 - std::min(0.5, Steps / ProfileMemorySteps);
  Of.Weight = Of.Weight * Keep + Steps;
  Of.X = Of.X * Keep + Steps * X;
  Of.Y = Of.Y * Keep + Steps * Y;
  Of.XX = Of.XX * Keep + Steps * X * X;
  Of.XY = Of.XY * Keep + Steps * X * Y;
  if (Of.Weight < MinProfileSteps)
    return;
  const double MeanX = Of.X / Of.Weight;
  const double MeanY = Of.Y / Of.Weight;
  const double Variance = Of.XX / Of.Weight - MeanX * MeanX;
  double Slope = 0;
  if (Variance > MeanX * MeanX * MinVariation * MinVariation)
    Slope = (Of.XY / Of.Weight - MeanX * MeanY) / Variance;
  Slope = std::clamp(Slope, 0.0, MeanY / MeanX);
  Profile.StepMillisecondsPerRequest = Slope;
  Profile.StepMilliseconds = MeanY - Slope * MeanX;
}

void SpeedEstimator::updateMeans(Common::TimePoint Now) {
  const double Elapsed =
      this->MeansUpdatedAt ? Common::toSeconds(Now - *this->MeansUpdatedAt) : 0;
  this->MeansUpdatedAt = Now;
  struct Mean {
    double Prefill = 0, PrefillWeight = 0, Decode = 0, DecodeWeight = 0;
  };
  std::map<Common::ServiceName, Mean> Means;
  for (const auto &Each : this->Servers) {
    const Server &Of = Each.second;
    Mean &Sum = Means[Of.Service];
    const double PrefillWeight = std::min(Of.Prefill.weight(), PriorWeight);
    Sum.Prefill += PrefillWeight * Of.Prefill.value();
    Sum.PrefillWeight += PrefillWeight;
    const double DecodeWeight = std::min(Of.Decode.weight(), PriorWeight);
    Sum.Decode += DecodeWeight * Of.Decode.value();
    Sum.DecodeWeight += DecodeWeight;
  }
  const auto Follow = [&](std::optional<double> &Smoothed, double Sum,
                          double Weight, bool Learning) {
    if (Weight <= 0)
      return;
    const double Value = Sum / Weight;
    if (!Smoothed || Learning)
      Smoothed = Value;
    else
      *Smoothed += (Value - *Smoothed) * (1 - std::exp(-Elapsed / MeanSeconds));
  };
  for (auto &[Name, Of] : this->Services) {
    const Mean &Sum = Means[Name];
    const bool Learning = Now - Of.FirstRecordedAt < LearningTime;
    Follow(Of.MeanPrefill, Sum.Prefill, Sum.PrefillWeight, Learning);
    Follow(Of.MeanDecode, Sum.Decode, Sum.DecodeWeight, Learning);
  }
}

ServerSpeed SpeedEstimator::speedOf(const Server &Of) const {
  ServerSpeed Result = Of.Published;
  const Service &Owner = this->Services.at(Of.Service);
  const auto ToSpeed = [](double Log) {
    if (std::abs(Log) < MinDifference)
      return 1.0F;
    return static_cast<float>(
        std::clamp(std::exp(Log), 1 / MaxSpeed, MaxSpeed));
  };
  const double DecodeWeight = Of.Decode.weight();
  const double Decode = (Owner.MeanDecode.value_or(0) - Of.Decode.value()) *
                        DecodeWeight / (DecodeWeight + PriorWeight);
  const double PrefillWeight = Of.Prefill.weight();
  const double Prefill =
      (PrefillWeight * (Owner.MeanPrefill.value_or(0) - Of.Prefill.value()) +
       PriorWeight * Decode) /
      (PrefillWeight + PriorWeight);
  Result.Prefill = ToSpeed(Prefill);
  Result.Decode = ToSpeed(Decode);
  return Result;
}

std::optional<SpeedEstimator::Update>
SpeedEstimator::take(Common::TimePoint Now) {
  std::erase_if(this->Servers, [Now](const auto &Each) {
    return Now - Each.second.RecordedAt > Retention;
  });
  for (auto &Each : this->Servers) {
    Server &Of = Each.second;
    // The prefill has far fewer samples than the decoding. A sudden change is
    // assumed to affect both.
    const double Change = Of.Decode.update(Now);
    if (Change != 0)
      Of.Prefill.shift(Change);
    Of.Prefill.update(Now);
  }
  this->updateMeans(Now);
  const bool All =
      !this->AllPublishedAt || Now - *this->AllPublishedAt >= PublishPeriod;
  Update Result;
  for (auto &Each : this->Servers) {
    Server &Of = Each.second;
    if (Now - this->Services.at(Of.Service).FirstRecordedAt < LearningTime)
      continue;
    const ServerSpeed Speed = this->speedOf(Of);
    const auto Differs = [](float A, float B) {
      return std::abs(std::log(A / B)) > MinPublishedChange ||
             (A == 1 && B != 1);
    };
    const bool Changed = Differs(Speed.Prefill, Of.Published.Prefill) ||
                         Differs(Speed.Decode, Of.Published.Decode);
    if (Changed) {
      Of.Published = Speed;
      Result.Changed.push_back(Speed);
    }
    const bool IsOne = Of.Published.Prefill == 1 && Of.Published.Decode == 1;
    if (Changed || (All && !IsOne))
      Result.Servers.push_back(Of.Published);
  }
  if (All) {
    for (const auto &Each : this->Services) {
      const Service &Of = Each.second;
      if (Now - Of.FirstRecordedAt < LearningTime)
        continue;
      Result.Engines.push_back(Of.Profile);
    }
    this->AllPublishedAt = Now;
  }
  if (Result.Servers.empty() && Result.Engines.empty())
    return std::nullopt;
  return Result;
}

} // namespace Routing
