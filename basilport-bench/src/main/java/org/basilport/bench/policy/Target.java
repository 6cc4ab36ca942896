package org.basilport.bench.policy;

/**
 * A performance target of docs/design.md, section 4.12, with its measured value.
 *
 * @param name deployment, workload and measure
 * @param value measured value
 * @param bound limit for the value, inclusive
 * @param atLeast whether the bound is a lower limit; otherwise it is an upper limit
 */
public record Target(String name, double value, double bound, boolean atLeast) {

  /** Returns whether the value is within the limit. */
  public boolean met() {
    return atLeast ? value >= bound : value <= bound;
  }
}
