package org.basilport.gateway.peer;

import java.util.concurrent.TimeUnit;
import org.basilport.gateway.backend.CrashMonitor;
import org.basilport.policy.dispatch.CrashEvidence;
import org.basilport.policy.dispatch.Quarantine;
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

  CrashReports(CrashMonitor crashes) {
    this.crashes = crashes;
  }

  /** Adds what this instance knows to a report. */
  void write(LoadReport.Builder report) {
    long now = System.nanoTime();
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
                        .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(now - lostAt))));
    crashes
        .detector()
        .soundSuspects(now)
        .forEach(
            (content, soundAt) ->
                report.addSoundContents(
                    SoundContent.newBuilder()
                        .setContent(content)
                        .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(now - soundAt))));
    for (Quarantine quarantine : crashes.detector().quarantines(now)) {
      report.addQuarantines(
          ContentQuarantine.newBuilder()
              .setContent(quarantine.content())
              .setLastCrashAgeMillis(
                  TimeUnit.NANOSECONDS.toMillis(now - quarantine.lastCrashNanos()))
              .setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(quarantine.untilNanos() - now)));
    }
  }

  /**
   * Merges the knowledge of another instance.
   *
   * @return whether the report contains a crash that is new here and a content of it is known here
   *     to be sound, which the other instances have to learn
   */
  boolean read(LoadReport report) {
    long now = System.nanoTime();
    for (SoundContent sound : report.getSoundContentsList()) {
      crashes
          .detector()
          .addSound(sound.getContent(), now - TimeUnit.MILLISECONDS.toNanos(sound.getAgeMillis()));
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
          crashes.recordReportedCrash(
              evidence, now - TimeUnit.MILLISECONDS.toNanos(death.getAgeMillis()));
    }
    for (ContentQuarantine quarantine : report.getQuarantinesList()) {
      crashes
          .detector()
          .addQuarantine(
              new Quarantine(
                  quarantine.getContent(),
                  now - TimeUnit.MILLISECONDS.toNanos(quarantine.getLastCrashAgeMillis()),
                  now + TimeUnit.MILLISECONDS.toNanos(quarantine.getRemainingMillis())),
              now);
    }
    return newCrash && !crashes.detector().soundSuspects(now).isEmpty();
  }
}
