package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.basilport.misc.LoopbackPorts;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ProofReply;
import org.basilport.protocol.ProofRequest;
import org.basilport.protocol.ServerLimit;
import org.basilport.protocol.ServerWork;
import org.junit.jupiter.api.Test;

class PeerChannelTest {
  /** Servers of the largest deployment. */
  private static final int SERVERS = 600;

  private static PeerDatagram report(int servers) {
    LoadReport.Builder report =
        LoadReport.newBuilder().setInstanceId("i1").setSequence(300).setReady(true);
    for (int i = 0; i < servers; i++) {
      report
          .addWork(ServerWork.newBuilder().setServerId("server-" + i).setRequests(200))
          .addLimits(ServerLimit.newBuilder().setServerId("server-" + i).setRequestsPerSecond(2.5));
    }
    return PeerDatagram.newBuilder().setSenderId("i1").setLoad(report).build();
  }

  /** Guards against a report that lacks a part of the work, or an early proof. */
  @Test
  void receivesNoPartOfAMessage() {
    InetSocketAddress address = new InetSocketAddress(0);
    List<PeerDatagram> messages =
        List.of(
            report(3),
            PeerDatagram.newBuilder()
                .setSenderId("i1")
                .setProofRequest(ProofRequest.newBuilder().setNonce(70_000))
                .build(),
            PeerDatagram.newBuilder()
                .setSenderId("i1")
                .setProofReply(
                    ProofReply.newBuilder()
                        .setNonce(70_000)
                        .setConfigurationVersion(300)
                        .setAgeMillis(900))
                .build());
    for (PeerDatagram message : messages) {
      byte[] bytes = message.toByteArray();
      for (int cut = 0; cut <= bytes.length; cut++) {
        List<PeerDatagram> received = new ArrayList<>();
        EmbeddedChannel channel =
            new EmbeddedChannel(
                new PeerChannel(address, null, (content, sender) -> received.add(content)));
        channel.writeInbound(
            new DatagramPacket(
                Unpooled.wrappedBuffer(Arrays.copyOf(bytes, cut)), address, address));
        received.removeIf(
            content -> content.getContentCase() == PeerDatagram.ContentCase.CONTENT_NOT_SET);

        assertWithMessage("%s of %s bytes", cut, bytes.length)
            .that(received)
            .isEqualTo(cut == bytes.length ? List.of(message) : List.of());
      }
    }
  }

  /** Guards against an instance that nobody hears any more once it reports on many servers. */
  @Test
  void receivesAReportOnAllServers() throws Exception {
    NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    EventLoop eventLoop = eventLoops.next();
    BlockingQueue<PeerDatagram> received = new ArrayBlockingQueue<>(1);
    InetSocketAddress address = LoopbackPorts.freeAddress();
    PeerChannel receiver =
        new PeerChannel(address, eventLoop, (content, sender) -> received.add(content));
    PeerChannel sender =
        new PeerChannel(LoopbackPorts.freeAddress(), eventLoop, (content, from) -> {});
    receiver.start().get(5, TimeUnit.SECONDS);
    sender.start().get(5, TimeUnit.SECONDS);
    PeerDatagram report = report(SERVERS);
    eventLoop.execute(() -> sender.send(report, List.of(address)));

    assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(report);
    receiver.stop().get(5, TimeUnit.SECONDS);
    sender.stop().get(5, TimeUnit.SECONDS);
    eventLoops.shutdownGracefully();
  }
}
