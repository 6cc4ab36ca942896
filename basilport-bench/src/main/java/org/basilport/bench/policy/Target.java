package org.basilport.bench.policy;

/**
 * A target of docs/design.md, section 4.12, with its measured value.
 *
 * @param name deployment, workload and measure
 * @param value measured value
 * @param bound bound of the target
 * @param atLeast whether the value must be at least the bound, and not at most
 */
public record Target(String name, double value, double bound, boolean atLeast) {

  /** Returns whether the value is within the bound. */
  public boolean met() {
    return atLeast ? value >= bound : value <= bound;
  }
}
