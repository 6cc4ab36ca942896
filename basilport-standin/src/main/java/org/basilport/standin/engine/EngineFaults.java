package org.basilport.standin.engine;

import java.time.Duration;
import java.util.Optional;

/** Persistent fault injection for one engine; safe to use from any thread. */
public final class EngineFaults {
  private volatile boolean refuseConnections;
  private volatile double lostRequestProbability;
  private volatile double duplicateFrames;
  private volatile double reorderedFrames;
  private volatile double unknownGenerationFrames;
  private volatile String crashMarker = "";
  private volatile Duration automaticRestart;

  EngineFaults() {}

  /** Sets whether new connections are refused; existing streams continue. */
  public void refuseConnections(boolean refuse) {
    refuseConnections = refuse;
  }

  /** Closes connections before the engine reads the request, with a probability from 0 to 1. */
  public void loseRequests(double probability) {
    lostRequestProbability = probability;
  }

  /** Duplicates frames with a probability from 0 to 1. */
  public void duplicateFrames(double probability) {
    duplicateFrames = probability;
  }

  /** Swaps a frame with its successor with a probability from 0 to 1. */
  public void reorderFrames(double probability) {
    reorderedFrames = probability;
  }

  /** Injects a frame with an unknown generation id, with a probability from 0 to 1. */
  public void unknownGenerationFrames(double probability) {
    unknownGenerationFrames = probability;
  }

  /** Crashes the engine when it runs a prompt that contains the marker; empty disables this. */
  public void crashMarker(String marker) {
    crashMarker = marker;
  }

  /** Sets the delay of a restart after each crash; null leaves the engine down. */
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

  double unknownGenerationFrames() {
    return unknownGenerationFrames;
  }

  boolean crashesOn(String prompt) {
    String marker = crashMarker;
    return !marker.isEmpty() && prompt.contains(marker);
  }

  Optional<Duration> automaticRestart() {
    return Optional.ofNullable(automaticRestart);
  }
}
