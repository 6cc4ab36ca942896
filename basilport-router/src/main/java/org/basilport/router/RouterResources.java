package org.basilport.router;

import com.codahale.metrics.MetricRegistry;
import java.util.SplittableRandom;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.event.Timeline;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.WeightStore;
import org.basilport.policy.GenerationPolicyFactory;
import org.basilport.service.ServiceReplicaConnector;

/** What a router is made of; the components are those of the constructor of the router. */
record RouterResources(
    InstanceSettings settings,
    ControlPlane controlPlane,
    ObjectStore store,
    WeightStore weights,
    ModelEngineConnector engines,
    ServiceReplicaConnector services,
    GenerationPolicyFactory policies,
    Scheduler control,
    Scheduler traffic,
    Timeline timeline,
    SplittableRandom random,
    MetricRegistry metrics) {}
