/** Contract tests for the interfaces to external systems, in memory and over HTTP. */
package org.basilport.standin.contract;
