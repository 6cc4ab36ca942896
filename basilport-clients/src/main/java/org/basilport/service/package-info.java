/** Client interface of application services, which run no model. */
package org.basilport.service;
