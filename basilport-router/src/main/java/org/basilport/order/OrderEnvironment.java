package org.basilport.order;

import org.basilport.backend.BackendView;
import org.basilport.config.ConfigurationView;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.event.EventSink;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.WeightStore;

/** Dependencies of engine orders on the rest of the instance. */
public record OrderEnvironment(
    ObjectStore store,
    WeightStore weights,
    ModelEngineConnector engines,
    MembershipView membership,
    BackendView backends,
    ConfigurationView configuration,
    Scheduler control,
    EventSink events) {}
