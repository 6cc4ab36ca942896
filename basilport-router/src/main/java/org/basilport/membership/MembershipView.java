package org.basilport.membership;

import java.util.List;
import java.util.Optional;

/** Members as seen by this instance; safe to read from any thread. */
public interface MembershipView {

  /** Returns this instance. */
  Member self();

  /** Returns all known members, including this instance. */
  List<Member> members();

  /** Returns the serving member that owns a key by rendezvous hashing, empty if none is serving. */
  Optional<Member> owner(String key);
}
