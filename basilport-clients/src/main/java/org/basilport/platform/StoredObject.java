package org.basilport.platform;

import java.util.Arrays;

/** A named value of the object store with the version that the platform assigned. */
public final class StoredObject {
  private final String name;
  private final long version;
  private final byte[] value;

  /** Creates an object. The value is not copied and must not be modified afterwards. */
  public StoredObject(String name, long version, byte[] value) {
    this.name = name;
    this.version = version;
    this.value = value;
  }

  /** Name of the object, with path segments separated by slashes. */
  public String name() {
    return name;
  }

  /** Version of the object, at least 1, which increases with each update. */
  public long version() {
    return version;
  }

  /** The value, not a copy. */
  public byte[] value() {
    return value;
  }

  @Override
  public String toString() {
    return name + "@" + version + " (" + value.length + " bytes)";
  }

  @Override
  public boolean equals(Object other) {
    if (!(other instanceof StoredObject)) {
      return false;
    }
    StoredObject that = (StoredObject) other;
    return version == that.version && name.equals(that.name) && Arrays.equals(value, that.value);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + Long.hashCode(version);
  }
}
