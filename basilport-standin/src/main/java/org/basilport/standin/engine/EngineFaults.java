package org.basilport.standin.engine;

import java.time.Duration;
import java.util.Optional;

/** Faults of one engine that last until they are switched off; usable from any thread. */
public final class EngineFaults {
  private volatile boolean refuseConnections;
  private volatile double lostRequestProbability;
  private volatile double duplicateFrames;
  private volatile double reorderedFrames;
  private volatile double foreignFrames;
  private volatile String crashMarker = "";
  private volatile Duration automaticRestart;

  EngineFaults() {}

  /** Refuses new connections; existing streams continue. */
  public void refuseConnections(boolean refuse) {
    refuseConnections = refuse;
  }

  /** Cuts connections after the request was sent and before the engine read it. */
  public void loseRequests(double probability) {
    lostRequestProbability = probability;
  }

  /** Sends frames twice with a probability from 0 to 1. */
  public void duplicateFrames(double probability) {
    duplicateFrames = probability;
  }

  /** Sends a frame after its successor with a probability from 0 to 1. */
  public void reorderFrames(double probability) {
    reorderedFrames = probability;
  }

  /** Sends a frame of a generation that does not exist, with a probability from 0 to 1. */
  public void foreignFrames(double probability) {
    foreignFrames = probability;
  }

  /** Crashes the engine when it runs a prompt that contains the marker; empty switches it off. */
  public void crashMarker(String marker) {
    crashMarker = marker;
  }

  /** Restarts the engine after each crash; null leaves it down. */
  public void automaticRestart(Duration delay) {
    automaticRestart = delay;
  }

  boolean refusesConnections() {
    return refuseConnections;
  }

  double lostRequestProbability() {
    return lostRequestProbability;
  }

  double duplicateFrames() {
    return duplicateFrames;
  }

  double reorderedFrames() {
    return reorderedFrames;
  }

  double foreignFrames() {
    return foreignFrames;
  }

  boolean crashesOn(String prompt) {
    String marker = crashMarker;
    return !marker.isEmpty() && prompt.contains(marker);
  }

  Optional<Duration> automaticRestart() {
    return Optional.ofNullable(automaticRestart);
  }
}
