package org.basilport.membership;

import java.util.List;
import java.util.Optional;

/** Members as this instance sees them; safe to read from any thread. */
public interface MembershipView {

  /** Returns this instance. */
  Member self();

  /** Returns all known members, this instance included. */
  List<Member> members();

  /** Returns the serving member that owns a key by rendezvous hashing, empty when none serves. */
  Optional<Member> owner(String key);
}
