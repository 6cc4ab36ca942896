package org.basilport.gateway.backend;

/**
 * Keeps quarantines outside the instances, so that they survive a restart of all of them. Calls
 * return at once and are carried out on a best-effort basis.
 */
public interface QuarantineArchive {

  /** An archive that keeps nothing. */
  QuarantineArchive NONE =
      new QuarantineArchive() {
        @Override
        public void save(StoredQuarantine quarantine) {}

        @Override
        public void remove(long content) {}
      };

  /** Saves a quarantine, or replaces that of the same content. */
  void save(StoredQuarantine quarantine);

  /** Removes the quarantine of a content. */
  void remove(long content);
}
