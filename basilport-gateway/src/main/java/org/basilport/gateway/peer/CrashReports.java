package org.basilport.gateway.peer;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.basilport.gateway.backend.CrashMonitor;
import org.basilport.policy.dispatch.CrashEvidence;
import org.basilport.policy.dispatch.Quarantine;
import org.basilport.policy.dispatch.ReportedAge;
import org.basilport.policy.dispatch.RequestContent;
import org.basilport.protocol.ContentQuarantine;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.ServerDeath;
import org.basilport.protocol.SoundContent;

/**
 * Translates crashes, quarantines and observations of sound contents to and from load reports.
 * Times are sent as ages, since the clocks of instances are not comparable. Confined to the event
 * loop thread.
 */
final class CrashReports {
  private final CrashMonitor crashes;
  private final BooleanSupplier delayed;
  private final LongSupplier clock;

  /**
   * Creates a translation.
   *
   * @param delayed whether reports are read now that arrived before a pause of this process, so
   *     that their ages are too small
   * @param clock monotonic time in nanoseconds
   */
  CrashReports(CrashMonitor crashes, BooleanSupplier delayed, LongSupplier clock) {
    this.crashes = crashes;
    this.delayed = delayed;
    this.clock = clock;
  }

  /** Adds what this instance knows to a report. */
  void write(LoadReport.Builder report) {
    long now = clock.getAsLong();
    crashes
        .detector()
        .recentCrashes(now)
        .forEach(
            (evidence, lostAt) ->
                report.addDeaths(
                    ServerDeath.newBuilder()
                        .setFingerprint(evidence.content().fingerprint())
                        .addAllPromptParts(evidence.content().promptParts())
                        .setAnswering(evidence.answering())
                        .setServerId(evidence.serverId())
                        .setIncarnation(evidence.incarnation())
                        .setAgeMillis(ReportedAge.notEarlier(lostAt, now))));
    crashes
        .detector()
        .soundSuspects(now)
        .forEach(
            (content, soundAt) ->
                report.addSoundContents(
                    SoundContent.newBuilder()
                        .setContent(content)
                        .setAgeMillis(ReportedAge.notLater(soundAt, now))));
    for (Quarantine quarantine : crashes.detector().quarantines(now)) {
      report.addQuarantines(
          ContentQuarantine.newBuilder()
              .setContent(quarantine.content())
              .setLastCrashAgeMillis(ReportedAge.notEarlier(quarantine.lastCrashNanos(), now))
              .setRemainingMillis(-ReportedAge.notLater(quarantine.untilNanos(), now)));
    }
  }

  /**
   * Merges the knowledge of another instance.
   *
   * @return whether the report contains a crash that is new here and a content of it is known here
   *     to be sound, which the other instances have to learn
   */
  boolean read(LoadReport report) {
    if (delayed.getAsBoolean()) {
      return false;
    }
    long now = clock.getAsLong();
    for (SoundContent sound : report.getSoundContentsList()) {
      crashes
          .detector()
          .addSound(sound.getContent(), ReportedAge.toNanos(sound.getAgeMillis(), now));
    }
    boolean newCrash = false;
    for (ServerDeath death : report.getDeathsList()) {
      CrashEvidence evidence =
          new CrashEvidence(
              new RequestContent(death.getFingerprint(), death.getPromptPartsList()),
              death.getAnswering(),
              death.getServerId(),
              death.getIncarnation());
      newCrash |=
          crashes.recordReportedCrash(evidence, ReportedAge.toNanos(death.getAgeMillis(), now));
    }
    for (ContentQuarantine quarantine : report.getQuarantinesList()) {
      crashes
          .detector()
          .addQuarantine(
              new Quarantine(
                  quarantine.getContent(),
                  ReportedAge.toNanos(quarantine.getLastCrashAgeMillis(), now),
                  ReportedAge.toNanos(-quarantine.getRemainingMillis(), now)),
              now);
    }
    return newCrash && !crashes.detector().soundSuspects(now).isEmpty();
  }
}
