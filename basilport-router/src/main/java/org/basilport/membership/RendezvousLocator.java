package org.basilport.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.basilport.policy.routing.RendezvousHash;

/** Ranks serving instances by rendezvous hashing, those closest to the caller first. */
public final class RendezvousLocator implements Locator {
  private static final Duration LOCATION_LIFETIME = Duration.ofSeconds(30);
  private static final int MAX_ADDRESSES = 8;
  private static final int SAME_DATA_CENTRE = 0;
  private static final int SAME_REGION = 1;
  private static final int OTHER_REGION = 2;

  private final MembershipView membership;

  /** Creates a locator over a view of the members. */
  public RendezvousLocator(MembershipView membership) {
    this.membership = membership;
  }

  @Override
  public Location locate(String workspace, String route, String dataCentre) {
    List<Member> members = membership.members();
    String callerDataCentre = dataCentre.isEmpty() ? membership.self().dataCentre() : dataCentre;
    String region = regionOf(callerDataCentre, members);
    List<Member> serving = members.stream().filter(Member::serving).toList();
    List<Member> ranked = RendezvousHash.rank(workspace + "/" + route, serving, Member::id);
    List<String> addresses =
        ranked.stream()
            .sorted(
                Comparator.<Member>comparingInt(
                        member -> distance(member, callerDataCentre, region))
                    .thenComparing(member -> member.health() != MemberHealth.ALIVE))
            .limit(MAX_ADDRESSES)
            .map(Member::address)
            .toList();
    return new Location(addresses, LOCATION_LIFETIME);
  }

  private String regionOf(String dataCentre, List<Member> members) {
    return members.stream()
        .filter(member -> member.dataCentre().equals(dataCentre))
        .map(Member::region)
        .findFirst()
        .orElse(membership.self().region());
  }

  private static int distance(Member member, String dataCentre, String region) {
    if (member.dataCentre().equals(dataCentre)) {
      return SAME_DATA_CENTRE;
    }
    return member.region().equals(region) ? SAME_REGION : OTHER_REGION;
  }
}
